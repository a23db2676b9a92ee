//! Finds where two listings differ without sending a whole one.

use std::collections::BTreeSet;

use kernel::{EndpointId, hash};
use route::endpoint::Entry;
use serde::{Deserialize, Serialize};

use super::{Listing, facts, fingerprint};

/// A short hash of each bucket of a listing's entries.
///
/// Hosts that follow different readers, or miss some listings, have listings from which no
/// kept change leads. Sending each of them a whole listing would make up most of the traffic
/// among hundreds of hosts.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Sketch {
    parts: Vec<u32>,
}

/// All entries of the buckets in which two listings differ.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Patch {
    /// Fingerprint of the resulting listing.
    pub to: u64,
    /// Number of buckets.
    count: usize,
    /// The buckets that differ.
    parts: BTreeSet<usize>,
    /// The entries that the sender has in these buckets.
    pub entries: Vec<Entry>,
}

impl Listing {
    /// Returns the sketch of this listing. There are enough buckets that one with a changed
    /// entry has few other entries.
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

    /// Returns the buckets in which a host with the sketch `theirs` differs; `None` if the
    /// sketch is empty or this host has no listing.
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

    /// Returns the entries that result from `patch`; `None` if they aren't the listing that
    /// it names, as this one has changed since its sketch was sent.
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
    // Any half of the hash is equally well distributed.
    u32::try_from(hash & u64::from(u32::MAX)).unwrap_or_default()
}
