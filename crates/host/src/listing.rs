//! The listing of endpoints, and the changes between listings that hosts send each other.
//!
//! With thousands of endpoints some entry changes every second, and a whole listing is
//! hundreds of kilobytes. Sent to each host every second, it would use more of a small
//! host's bandwidth than its callers do and arrive late. See `docs/design/gossip.md`.

mod block;
mod patch;

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::hash::Hash;
use std::ops::Bound;

use kernel::{EndpointId, hash};
use route::endpoint::{Entry, State};
use serde::{Deserialize, Serialize};

pub use block::Block;
pub use patch::{Patch, Sketch};

/// The kept changes have at most this fraction of the listing's entries: with more of them, a
/// patch is as small.
const MAX_KEPT_FRACTION: usize = 8;
/// Number of changed entries that are always kept, so that a small listing has some changes.
const MIN_KEPT_ENTRIES: usize = 64;

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

impl Change {
    /// Returns whether both listings have the same entries.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    fn len(&self) -> usize {
        self.changed.len() + self.gone.len()
    }
}

impl Listing {
    /// Replaces all entries, and keeps the change if there was a listing before.
    pub fn replace(&mut self, entries: Vec<Entry>) {
        let listed: BTreeMap<_, _> = entries.into_iter().map(|it| (it.id.clone(), it)).collect();
        if self.fingerprint.is_none() {
            self.fingerprint = Some(sum_of_hashes(listed.values()));
            self.entries = listed;
            return;
        }
        let gone = self.entries.keys().filter(|it| !listed.contains_key(*it));
        let gone = gone.cloned().collect();
        if let Some(change) = self.change_to(listed.into_values().collect(), gone) {
            self.insert_change(change);
        }
    }

    /// Returns the change that these entries and removals make to the listing; `None` before
    /// the first listing. Entries that are the same already are left out, and so are those of
    /// removed endpoints: counted twice, they would give a fingerprint that no receiver reaches.
    #[must_use]
    pub fn change_to(&self, changed: Vec<Entry>, gone: Vec<EndpointId>) -> Option<Change> {
        let from = self.fingerprint?;
        let mut gone: BTreeSet<_> = gone.into_iter().collect();
        let is_other = |it: &Entry| self.entries.get(&it.id) != Some(it);
        let changed: BTreeMap<_, _> = changed
            .into_iter()
            .filter(|it| is_other(it) && !gone.contains(&it.id))
            .map(|it| (it.id.clone(), it))
            .collect();
        gone.retain(|it| self.entries.contains_key(it));
        let mut change = Change {
            from,
            to: from,
            changed: changed.into_values().collect(),
            gone: gone.into_iter().collect(),
        };
        change.to = self.fingerprint_with(&change)?;
        Some(change)
    }

    /// Applies a change. Returns `false`, and leaves the listing as it is, if the change is one of
    /// another listing or doesn't lead to the one that it names.
    pub fn apply(&mut self, change: &Change) -> bool {
        let is_valid = self.fingerprint == Some(change.from)
            && self.fingerprint_with(change) == Some(change.to);
        if is_valid {
            self.insert_change(change.clone());
        }
        is_valid
    }

    /// Returns the fingerprint of the listing with a change applied.
    ///
    /// Computed from the changed entries alone: a host applies a change every second, and hashing
    /// thousands of unchanged entries takes a small host most of that second.
    fn fingerprint_with(&self, change: &Change) -> Option<u64> {
        let mut sum = self.fingerprint?;
        let ids = change.changed.iter().map(|it| &it.id).chain(&change.gone);
        for before in ids.filter_map(|id| self.entries.get(id)) {
            sum = sum.wrapping_sub(entry_hash(before));
        }
        Some(sum.wrapping_add(sum_of_hashes(change.changed.iter())))
    }

    fn insert_change(&mut self, change: Change) {
        for id in &change.gone {
            self.entries.remove(id);
        }
        for it in &change.changed {
            self.entries.insert(it.id.clone(), it.clone());
        }
        self.fingerprint = Some(change.to);
        if change.from != change.to {
            self.changes.push_back(change);
            self.forget_old_changes();
        }
    }

    fn forget_old_changes(&mut self) {
        let max = MIN_KEPT_ENTRIES.max(self.entries.len() / MAX_KEPT_FRACTION);
        let mut kept: usize = self.changes.iter().map(Change::len).sum();
        while kept > max
            && let Some(oldest) = self.changes.pop_front()
        {
            kept -= oldest.len();
        }
    }

    /// Returns the entries, ordered by endpoint.
    #[must_use]
    pub fn entries(&self) -> impl ExactSizeIterator<Item = &Entry> {
        self.entries.values()
    }

    /// Returns up to `limit` entries after the endpoint `after`, or the first ones, and whether
    /// no entries follow.
    #[must_use]
    pub fn page(&self, after: Option<&EndpointId>, limit: usize) -> (Block, bool) {
        let from = after.map_or(Bound::Unbounded, Bound::Excluded);
        let mut rest = self
            .entries
            .range::<EndpointId, _>((from, Bound::Unbounded));
        let block = Block::pack(rest.by_ref().take(limit).map(|it| it.1));
        (block, rest.next().is_none())
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
}

/// Hashes the fields of all entries by which hosts compare listings. Listings that differ only
/// in other fields count as equal. The order of the entries doesn't matter.
#[must_use]
pub fn fingerprint(entries: &[Entry]) -> u64 {
    sum_of_hashes(entries.iter())
}

fn sum_of_hashes<'a>(entries: impl Iterator<Item = &'a Entry>) -> u64 {
    entries.map(entry_hash).fold(0, u64::wrapping_add)
}

fn entry_hash(it: &Entry) -> u64 {
    hash::of(&compared_fields(it))
}

/// Returns the fields of an entry that the fingerprint covers.
fn compared_fields(it: &Entry) -> impl Hash {
    let is_ready = it.state == State::Ready;
    let who = (&it.id, it.incarnation, &it.service, it.address, &it.release);
    (who, it.slots, is_ready, it.cold.is_zero())
}
