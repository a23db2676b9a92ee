//! The listing of endpoints, as hosts hand it on: whole, or what has changed since one that
//! the other host has.
//!
//! With thousands of endpoints some entry changes every second, and a whole listing is
//! hundreds of kilobytes: handed to each host each second, it takes more of a small host's
//! link than its callers do, and doesn't arrive in time. See `docs/design/large.md`.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::hash::Hash;

use kernel::{EndpointId, hash};
use route::endpoint::{Entry, State};
use serde::{Deserialize, Serialize};

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

/// Which entries a host has, without the entries: a short hash of each part of them.
///
/// Hosts that follow different readers, or hear of every other listing only, have listings
/// that no remembered change leads from. A whole one for each of them was most of what
/// hundreds of hosts told each other.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Sketch {
    parts: Vec<u32>,
}

/// All entries of the parts in which two listings differ.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Patch {
    /// Which listing it leads to, by its fingerprint.
    pub to: u64,
    /// Into how many parts entries are dealt.
    count: usize,
    /// The parts that differ.
    parts: BTreeSet<usize>,
    /// What the other listing has in them.
    pub entries: Vec<Entry>,
}

impl Listing {
    /// Which entries this host has. Parts are so many that one in which something has
    /// changed holds few others.
    #[must_use]
    pub fn sketch(&self) -> Sketch {
        const ENTRIES: usize = 4;
        const MOST: usize = 2_048;
        let count = self.entries.len().div_ceil(ENTRIES).clamp(1, MOST);
        self.sketch_of(count)
    }

    fn sketch_of(&self, count: usize) -> Sketch {
        let mut parts = vec![0; count];
        for it in self.entries.values() {
            parts[part(&it.id, count)] ^= short(hash::of(&facts(it)));
        }
        Sketch { parts }
    }

    /// What another host lacks or has otherwise; nothing where its question makes no sense.
    #[must_use]
    pub fn patch(&self, theirs: &Sketch) -> Option<Patch> {
        let to = self.fingerprint?;
        let count = theirs.parts.len();
        if count == 0 {
            return None;
        }
        let own = self.sketch_of(count);
        let differs = |it: &usize| own.parts[*it] != theirs.parts[*it];
        let parts: BTreeSet<_> = (0..count).filter(differs).collect();
        let is_wanted = |it: &&Entry| parts.contains(&part(&it.id, count));
        let entries = self.entries.values().filter(is_wanted).cloned().collect();
        Some(Patch {
            to,
            count,
            parts,
            entries,
        })
    }

    /// The entries that a patch of this listing leads to, unless this one has changed
    /// meanwhile.
    #[must_use]
    pub fn patched(&self, patch: &Patch) -> Option<Vec<Entry>> {
        let is_kept = |it: &&Entry| !patch.parts.contains(&part(&it.id, patch.count.max(1)));
        let kept = self.entries.values().filter(is_kept);
        let entries: Vec<_> = kept.chain(&patch.entries).cloned().collect();
        (fingerprint(&entries) == patch.to).then_some(entries)
    }

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

fn part(id: &EndpointId, count: usize) -> usize {
    let place = hash::of(id.as_str()) % count as u64;
    usize::try_from(place).unwrap_or_default()
}

fn short(hash: u64) -> u32 {
    // The lower half is as good as all of it.
    u32::try_from(hash & u64::from(u32::MAX)).unwrap_or_default()
}
