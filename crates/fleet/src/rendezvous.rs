//! Rendezvous hashing: hosts with the same view of the members make the same
//! choice, and adding or removing a member reassigns only the keys assigned to it.

use std::hash::{Hash, Hasher};

/// Returns a host's weight for a purpose and key. It is the same on all hosts of one
/// architecture: integers are hashed in native byte order, `usize` in native width.
pub(crate) fn weight(purpose: &str, key: impl Hash, host: &str) -> u64 {
    let mut hasher = Fnv::default();
    purpose.hash(&mut hasher);
    key.hash(&mut hasher);
    host.hash(&mut hasher);
    mix(hasher.finish())
}

/// The finaliser of `MurmurHash3`; FNV alone distributes short keys poorly.
pub(crate) fn mix(mut it: u64) -> u64 {
    it ^= it >> 33;
    it = it.wrapping_mul(0xff51_afd7_ed55_8ccd);
    it ^= it >> 33;
    it = it.wrapping_mul(0xc4ce_b9fe_1a85_ec53);
    it ^ (it >> 33)
}

/// FNV-1a, whose algorithm is fixed, unlike that of the standard library's hasher.
pub(crate) struct Fnv(u64);

impl Default for Fnv {
    fn default() -> Self {
        Self(0xcbf2_9ce4_8422_2325)
    }
}

impl Hasher for Fnv {
    fn finish(&self) -> u64 {
        self.0
    }

    fn write(&mut self, bytes: &[u8]) {
        for byte in bytes {
            self.0 = (self.0 ^ u64::from(*byte)).wrapping_mul(0x0100_0000_01b3);
        }
    }
}
