//! The listing of endpoints, as hosts hand it on: whole, or what has changed since one that
//! the other host has.
//!
//! With thousands of endpoints some entry changes every second, and a whole listing is
//! hundreds of kilobytes: handed to each host each second, it takes more of a small host's
//! link than its callers do, and doesn't arrive in time. See `docs/design/gossip.md`.

mod patch;

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::hash::Hash;

use kernel::{EndpointId, hash};
use route::endpoint::{Entry, State};
use serde::{Deserialize, Serialize};

pub use patch::{Patch, Sketch};

/// How many changes are remembered. A host asks for what has changed as soon as it hears
/// that something has, so one or two are wanted as a rule.
const REMEMBERED: usize = 8;

/// The listing in force, and how it came about.
#[derive(Debug, Default)]
pub struct Listing {
    entries: BTreeMap<EndpointId, Entry>,
    fingerprint: Option<u64>,
    changes: VecDeque<Change>,
}

/// What makes one listing of another.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Change {
    /// Which listing it is a change of, by its fingerprint.
    pub from: u64,
    /// Which listing it leads to.
    pub to: u64,
    /// Entries that are new or other than they were.
    pub changed: Vec<Entry>,
    /// Endpoints that have no entry any more.
    pub gone: Vec<EndpointId>,
}

impl Listing {
    /// Takes the listing that is in force from now on.
    pub fn take(&mut self, entries: &[Entry]) {
        let listed: BTreeMap<_, _> = entries
            .iter()
            .map(|it| (it.id.clone(), it.clone()))
            .collect();
        let to = fingerprint(entries);
        if let Some(from) = self.fingerprint
            && from != to
        {
            self.remember(from, to, &listed);
        }
        self.entries = listed;
        self.fingerprint = Some(to);
    }

    fn remember(&mut self, from: u64, to: u64, listed: &BTreeMap<EndpointId, Entry>) {
        let is_other = |it: &&Entry| self.entries.get(&it.id) != Some(*it);
        let is_gone = |id: &&EndpointId| !listed.contains_key(*id);
        let change = Change {
            from,
            to,
            changed: listed.values().filter(is_other).cloned().collect(),
            gone: self.entries.keys().filter(is_gone).cloned().collect(),
        };
        if self.changes.len() == REMEMBERED {
            self.changes.pop_front();
        }
        self.changes.push_back(change);
    }

    /// The entries.
    pub fn entries(&self) -> impl Iterator<Item = &Entry> {
        self.entries.values()
    }

    /// Which listing it is.
    #[must_use]
    pub fn fingerprint(&self) -> Option<u64> {
        self.fingerprint
    }

    /// What has changed since another listing, if that is remembered.
    #[must_use]
    pub fn since(&self, from: u64) -> Option<Change> {
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

    /// The entries that a change of this listing leads to, unless it is a change of another
    /// one.
    #[must_use]
    pub fn changed(&self, change: &Change) -> Option<Vec<Entry>> {
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

/// A number that tells two listings apart by what hosts go by.
#[must_use]
pub fn fingerprint(entries: &[Entry]) -> u64 {
    let mut facts: Vec<_> = entries.iter().map(facts).collect();
    facts.sort();
    hash::of(&facts)
}

/// What hosts go by in an entry.
fn facts(it: &Entry) -> impl Ord + Hash {
    let is_ready = it.state == State::Ready;
    let who = (&it.id, it.incarnation, &it.service, it.address, &it.release);
    (who, it.slots, is_ready, it.cold.is_zero())
}
