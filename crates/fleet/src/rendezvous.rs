//! Rendezvous hashing: all hosts that know the same members choose alike, and
//! a change of one member moves only what that member was chosen for.

use std::hash::{Hash, Hasher};

/// A member's weight for a purpose. Equal on all hosts and across builds.
pub(crate) fn weight(purpose: &str, key: impl Hash, host: &str) -> u64 {
    let mut hasher = Fnv::default();
    purpose.hash(&mut hasher);
    key.hash(&mut hasher);
    host.hash(&mut hasher);
    mix(hasher.finish())
}

/// The finaliser of `MurmurHash3`, because FNV alone spreads short keys badly.
pub(crate) fn mix(mut it: u64) -> u64 {
    it ^= it >> 33;
    it = it.wrapping_mul(0xff51_afd7_ed55_8ccd);
    it ^= it >> 33;
    it = it.wrapping_mul(0xc4ce_b9fe_1a85_ec53);
    it ^ (it >> 33)
}

/// FNV-1a, which unlike the standard library's hasher is fixed for all time.
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
