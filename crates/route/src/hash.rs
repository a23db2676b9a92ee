//! Hashes that every host computes alike.

use std::hash::{DefaultHasher, Hash, Hasher};

/// A hash of `value`, the same on every host that runs the same program.
pub(crate) fn of<T: Hash + ?Sized>(value: &T) -> u64 {
    let mut hasher = DefaultHasher::new();
    value.hash(&mut hasher);
    hasher.finish()
}

/// A number from 0 to 1 that follows from `value` alone.
pub(crate) fn unit<T: Hash + ?Sized>(value: &T) -> f64 {
    const BITS: u32 = 53;
    #[allow(clippy::cast_precision_loss, reason = "53 bits fit")]
    let number = (of(value) >> (u64::BITS - BITS)) as f64;
    number / 2f64.powi(53)
}
