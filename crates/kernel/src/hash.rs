//! Hashes that are the same on every host.

use std::hash::{DefaultHasher, Hash, Hasher};

/// Returns a hash of `value` that is the same on every host that runs the same program.
#[must_use]
pub fn of<T: Hash + ?Sized>(value: &T) -> u64 {
    let mut hasher = DefaultHasher::new();
    value.hash(&mut hasher);
    hasher.finish()
}

/// Maps a hash to a number in `0.0..1.0`.
#[must_use]
pub fn unit(hash: u64) -> f64 {
    // The upper 32 bits convert to `f64` without loss.
    f64::from(u32::try_from(hash >> 32).unwrap_or(u32::MAX)) / (f64::from(u32::MAX) + 1.0)
}
