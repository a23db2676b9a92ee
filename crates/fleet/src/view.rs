//! An incrementally updated fingerprint of this host's records.

use std::hash::{Hash, Hasher};

use wire::{Bucket, Endpoint, Member, State, Verdict};

use crate::rendezvous::{Fnv, mix};

/// The number of buckets that records are hashed into. Hosts whose views differ
/// exchange only the records of the differing buckets.
pub(crate) const BUCKETS: u8 = 32;

/// The fingerprints of all buckets.
///
/// A bucket's fingerprint is the XOR of its records' hashes, so adding and removing
/// a record are the same operation, at a cost independent of the fleet's size.
#[derive(Clone, Default)]
pub(crate) struct View {
    buckets: [u32; BUCKETS as usize],
}

impl View {
    /// Adds or removes the member's record. Dead members are left out because each
    /// host removes them at a different time.
    pub(crate) fn toggle_member(&mut self, it: &Member) {
        if it.state != State::Dead {
            let key = it.identity.host.as_str();
            self.toggle(key, (&it.identity, it.refutation, it.state));
        }
    }

    pub(crate) fn toggle_verdict(&mut self, it: &Verdict) {
        self.toggle(it.version.as_str(), (it.round, it.ruling, &it.by));
    }

    pub(crate) fn toggle_endpoint(&mut self, it: &Endpoint) {
        self.toggle(it.host.as_str(), (it.incarnation, it.state));
    }

    /// Returns a single fingerprint of all buckets.
    pub(crate) fn fingerprint(&self) -> u64 {
        hash_of(self.buckets)
    }

    /// Returns the buckets with a nonzero fingerprint.
    pub(crate) fn listing(&self) -> Vec<Bucket> {
        (0..BUCKETS)
            .map(|index| self.bucket(index))
            .filter(|it| it.hash != 0)
            .collect()
    }

    /// Returns this host's buckets that differ from `theirs`. A bucket that isn't listed
    /// counts as empty.
    pub(crate) fn differing(&self, theirs: &[Bucket]) -> Vec<Bucket> {
        let mut hashes = [0; BUCKETS as usize];
        for bucket in theirs {
            if let Some(hash) = hashes.get_mut(usize::from(bucket.index)) {
                *hash = bucket.hash;
            }
        }
        (0..BUCKETS)
            .map(|index| self.bucket(index))
            .filter(|it| it.hash != hashes[usize::from(it.index)])
            .collect()
    }

    fn bucket(&self, index: u8) -> Bucket {
        let hash = self.buckets[usize::from(index)];
        Bucket { index, hash }
    }

    fn toggle(&mut self, key: &str, record: impl Hash) {
        let [a, b, c, d, ..] = hash_of((key, record)).to_le_bytes();
        let hash = u32::from_le_bytes([a, b, c, d]);
        self.buckets[usize::from(bucket_of(key))] ^= hash;
    }
}

/// Returns the bucket of a record's key.
pub(crate) fn bucket_of(key: &str) -> u8 {
    hash_of(key).to_le_bytes()[0] % BUCKETS
}

fn hash_of(it: impl Hash) -> u64 {
    let mut hasher = Fnv::default();
    it.hash(&mut hasher);
    mix(hasher.finish())
}
