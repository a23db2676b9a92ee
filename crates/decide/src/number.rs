//! Conversions between integers and floats.

use std::time::Duration;

/// Converts an integer to a float, exactly up to 2^53.
pub(crate) fn float(value: u64) -> f64 {
    let low_half = |it: u64| f64::from(u32::try_from(it & u64::from(u32::MAX)).unwrap_or(u32::MAX));
    low_half(value >> 32) * 4_294_967_296.0 + low_half(value)
}

/// Converts a length to a float.
pub(crate) fn count(len: usize) -> f64 {
    float(u64::try_from(len).unwrap_or(u64::MAX))
}

/// Returns the integer part of a number, or 0 if it is negative, NaN or too
/// large for a `u64`.
pub(crate) fn floor(value: f64) -> u64 {
    // `Duration` converts without a lossy cast. It rounds to nanoseconds.
    Duration::try_from_secs_f64(value).map_or(0, |it| it.as_secs())
}
