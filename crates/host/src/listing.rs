//! The listing of endpoints, and the changes between listings that hosts send each other.
//!
//! With thousands of endpoints some entry changes every second, and a whole listing is
//! hundreds of kilobytes. Sent to each host every second, it would use more of a small
//! host's bandwidth than its callers do and arrive late. See `docs/design/gossip.md`.

mod patch;

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::hash::Hash;

use kernel::{EndpointId, hash};
use route::endpoint::{Entry, State};
use serde::{Deserialize, Serialize};

pub use patch::{Patch, Sketch};

/// Number of changes that are kept. A host requests changes as soon as it learns of them,
/// so it usually needs only the last one or two.
const MAX_CHANGES: usize = 8;

/// The listing in use, and the last changes that led to it.
#[derive(Debug, Default)]
pub struct Listing {
    entries: BTreeMap<EndpointId, Entry>,
    fingerprint: Option<u64>,
    changes: VecDeque<Change>,
}

/// The difference between two listings.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Change {
    /// Fingerprint of the listing that it applies to.
    pub from: u64,
    /// Fingerprint of the resulting listing.
    pub to: u64,
    /// Entries that are new or differ.
    pub changed: Vec<Entry>,
    /// Endpoints whose entries were removed.
    pub gone: Vec<EndpointId>,
}

impl Listing {
    /// Replaces the entries, and keeps the change if the fingerprint differs.
    pub fn replace(&mut self, entries: &[Entry]) {
        let listed: BTreeMap<_, _> = entries
            .iter()
            .map(|it| (it.id.clone(), it.clone()))
            .collect();
        let to = fingerprint(entries);
        if let Some(from) = self.fingerprint
            && from != to
        {
            self.record_change(from, to, &listed);
        }
        self.entries = listed;
        self.fingerprint = Some(to);
    }

    fn record_change(&mut self, from: u64, to: u64, listed: &BTreeMap<EndpointId, Entry>) {
        let is_other = |it: &&Entry| self.entries.get(&it.id) != Some(*it);
        let is_gone = |id: &&EndpointId| !listed.contains_key(*id);
        let change = Change {
            from,
            to,
            changed: listed.values().filter(is_other).cloned().collect(),
            gone: self.entries.keys().filter(is_gone).cloned().collect(),
        };
        if self.changes.len() == MAX_CHANGES {
            self.changes.pop_front();
        }
        self.changes.push_back(change);
    }

    /// Returns the entries, ordered by endpoint.
    pub fn entries(&self) -> impl Iterator<Item = &Entry> {
        self.entries.values()
    }

    /// Returns the fingerprint; `None` before the first listing.
    #[must_use]
    pub fn fingerprint(&self) -> Option<u64> {
        self.fingerprint
    }

    /// Returns the combined change since the listing with fingerprint `from`; `None` if no kept
    /// change starts from that listing.
    #[must_use]
    pub fn changes_since(&self, from: u64) -> Option<Change> {
        let to = self.fingerprint?;
        let first = self.changes.iter().rposition(|it| it.from == from)?;
        let (mut changed, mut gone) = (BTreeMap::new(), BTreeSet::new());
        for it in self.changes.iter().skip(first) {
            for entry in &it.changed {
                gone.remove(&entry.id);
                changed.insert(entry.id.clone(), entry.clone());
            }
            for id in &it.gone {
                changed.remove(id);
                gone.insert(id.clone());
            }
        }
        Some(Change {
            from,
            to,
            changed: changed.into_values().collect(),
            gone: gone.into_iter().collect(),
        })
    }

    /// Returns the entries that result from `change`; `None` if it applies to another
    /// listing or doesn't lead to the one that it names.
    #[must_use]
    pub fn with_change(&self, change: &Change) -> Option<Vec<Entry>> {
        if self.fingerprint != Some(change.from) {
            return None;
        }
        let mut entries = self.entries.clone();
        for id in &change.gone {
            entries.remove(id);
        }
        for it in &change.changed {
            entries.insert(it.id.clone(), it.clone());
        }
        let entries: Vec<_> = entries.into_values().collect();
        (fingerprint(&entries) == change.to).then_some(entries)
    }
}

/// Hashes the fields of all entries by which hosts compare listings. Listings that differ only
/// in other fields count as equal.
#[must_use]
pub fn fingerprint(entries: &[Entry]) -> u64 {
    let mut fields: Vec<_> = entries.iter().map(compared_fields).collect();
    fields.sort();
    hash::of(&fields)
}

/// Returns the fields of an entry that the fingerprint covers.
fn compared_fields(it: &Entry) -> impl Ord + Hash {
    let is_ready = it.state == State::Ready;
    let who = (&it.id, it.incarnation, &it.service, it.address, &it.release);
    (who, it.slots, is_ready, it.cold.is_zero())
}
