//! A fingerprint of what this host knows, kept up to date record by record.

use std::hash::{Hash, Hasher};

use wire::{Bucket, Endpoint, Member, State, Verdict};

use crate::rendezvous::{Fnv, mix};

/// How many parts the fingerprint has; a difference costs the exchange of one
/// part's records, so at the target size about ten members.
pub(crate) const BUCKETS: u8 = 32;

/// The fingerprints of all buckets.
///
/// Each is the exclusive or of its records' hashes, so that adding a record and
/// taking it out are the same operation and cost the same at any fleet size.
#[derive(Clone, Default)]
pub(crate) struct View {
    buckets: [u32; BUCKETS as usize],
}

impl View {
    /// Adds the member's record, or takes it out. Dead ones don't count: each
    /// host forgets them at its own time.
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

    /// All in one number.
    pub(crate) fn fingerprint(&self) -> u64 {
        hash_of(self.buckets)
    }

    /// The buckets that hold something.
    pub(crate) fn listing(&self) -> Vec<Bucket> {
        (0..BUCKETS)
            .map(|index| self.bucket(index))
            .filter(|it| it.hash != 0)
            .collect()
    }

    /// The buckets in which the other's full listing differs.
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

/// The bucket into which a record's key falls.
pub(crate) fn bucket_of(key: &str) -> u8 {
    hash_of(key).to_le_bytes()[0] % BUCKETS
}

fn hash_of(it: impl Hash) -> u64 {
    let mut hasher = Fnv::default();
    it.hash(&mut hasher);
    mix(hasher.finish())
}
