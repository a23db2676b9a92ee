//! Where two listings differ, found without a whole one going over the wire.

use std::collections::BTreeSet;

use kernel::{EndpointId, hash};
use route::endpoint::Entry;
use serde::{Deserialize, Serialize};

use super::{Listing, facts, fingerprint};

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
}

fn part(id: &EndpointId, count: usize) -> usize {
    let place = hash::of(id.as_str()) % count as u64;
    usize::try_from(place).unwrap_or_default()
}

fn short(hash: u64) -> u32 {
    // The lower half is as good as all of it.
    u32::try_from(hash & u64::from(u32::MAX)).unwrap_or_default()
}
