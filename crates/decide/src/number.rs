//! Conversions between numbers that lose nothing that matters here.

use std::time::Duration;

/// A whole number as a float; exact up to 2^53.
pub(crate) fn float(value: u64) -> f64 {
    let half = |it: u64| f64::from(u32::try_from(it & u64::from(u32::MAX)).unwrap_or(u32::MAX));
    half(value >> 32) * 4_294_967_296.0 + half(value)
}

/// A length as a float.
pub(crate) fn count(len: usize) -> f64 {
    float(u64::try_from(len).unwrap_or(u64::MAX))
}

/// The whole part of a number; 0 for what is negative or no number.
pub(crate) fn floor(value: f64) -> u64 {
    Duration::try_from_secs_f64(value).map_or(0, |it| it.as_secs())
}
