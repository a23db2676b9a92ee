//! Hashes that every host computes alike.

use std::hash::{DefaultHasher, Hash, Hasher};

/// A hash of `value`, the same on every host that runs the same program.
#[must_use]
pub fn of<T: Hash + ?Sized>(value: &T) -> u64 {
    let mut hasher = DefaultHasher::new();
    value.hash(&mut hasher);
    hasher.finish()
}

/// A number from 0 to 1 that follows from a hash alone.
#[must_use]
pub fn unit(hash: u64) -> f64 {
    // The upper half is as good as all of it, and converts without loss.
    f64::from(u32::try_from(hash >> 32).unwrap_or(u32::MAX)) / (f64::from(u32::MAX) + 1.0)
}
