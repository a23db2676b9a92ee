//! Finds where two listings differ without sending a whole one.

use std::collections::BTreeSet;

use kernel::{EndpointId, hash};
use route::endpoint::Entry;
use serde::{Deserialize, Serialize};

use super::{Change, Listing, entry_hash};

/// The hash of each bucket of a listing. The hash of an endpoint's id determines the bucket of
/// its entry.
///
/// Hosts that follow different readers, or miss some listings, may have a listing for which no
/// change is kept. Sending each of them a whole listing would make up most of the traffic
/// among hundreds of hosts.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Sketch {
    buckets: Vec<u32>,
}

/// All entries of the buckets in which two listings differ.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Patch {
    /// Fingerprint of the resulting listing.
    pub to: u64,
    /// Number of all buckets.
    count: usize,
    /// The buckets that differ.
    buckets: BTreeSet<usize>,
    /// The entries that the sender has in these buckets.
    pub entries: Vec<Entry>,
}

impl Listing {
    /// Returns the sketch of this listing. There are enough buckets that one with a changed
    /// entry has few other entries.
    #[must_use]
    pub fn sketch(&self) -> Sketch {
        const ENTRIES_PER_BUCKET: usize = 4;
        self.sketch_of(self.entries.len().div_ceil(ENTRIES_PER_BUCKET).max(1))
    }

    fn sketch_of(&self, count: usize) -> Sketch {
        let mut buckets = vec![0; count];
        for it in self.entries.values() {
            buckets[bucket(&it.id, count)] ^= low_bits(entry_hash(it));
        }
        Sketch { buckets }
    }

    /// Returns the patch to this listing from the one with the sketch `theirs`; `None` if the
    /// sketch is empty or this host has no listing.
    #[must_use]
    pub fn patch(&self, theirs: &Sketch) -> Option<Patch> {
        let to = self.fingerprint?;
        let count = theirs.buckets.len();
        if count == 0 {
            return None;
        }
        let own = self.sketch_of(count);
        let differs = |it: &usize| own.buckets[*it] != theirs.buckets[*it];
        let buckets: BTreeSet<_> = (0..count).filter(differs).collect();
        let is_wanted = |it: &&Entry| buckets.contains(&bucket(&it.id, count));
        let entries = self.entries.values().filter(is_wanted).cloned().collect();
        Some(Patch {
            to,
            count,
            buckets,
            entries,
        })
    }

    /// Returns the change that `patch` makes to this listing; `None` if the resulting fingerprint
    /// isn't `patch.to`, for example because this listing has changed since its sketch was sent.
    #[must_use]
    pub fn change_of(&self, patch: &Patch) -> Option<Change> {
        let count = patch.count.max(1);
        let sent: BTreeSet<_> = patch.entries.iter().map(|it| &it.id).collect();
        let is_gone =
            |id: &&EndpointId| patch.buckets.contains(&bucket(id, count)) && !sent.contains(id);
        let gone = self.entries.keys().filter(is_gone).cloned().collect();
        let change = self.change_to(patch.entries.clone(), gone)?;
        (change.to == patch.to).then_some(change)
    }
}

fn bucket(id: &EndpointId, count: usize) -> usize {
    let place = hash::of(id.as_str()) % count as u64;
    usize::try_from(place).unwrap_or_default()
}

fn low_bits(hash: u64) -> u32 {
    // Any half of the hash is equally well distributed.
    u32::try_from(hash & u64::from(u32::MAX)).unwrap_or_default()
}
