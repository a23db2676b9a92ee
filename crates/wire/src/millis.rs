//! Encodes durations as whole milliseconds, which takes fewer bytes than serde's encoding
//! of [`Duration`].

use std::time::Duration;

use serde::{Deserialize, Deserializer, Serializer};

pub(crate) fn serialize<S: Serializer>(it: &Duration, serializer: S) -> Result<S::Ok, S::Error> {
    serializer.serialize_u64(round_up(*it))
}

pub(crate) fn deserialize<'de, D: Deserializer<'de>>(
    deserializer: D,
) -> Result<Duration, D::Error> {
    u64::deserialize(deserializer).map(Duration::from_millis)
}

/// Returns whole milliseconds, rounded up: an age that is too low would make a proof look
/// newer than it is.
fn round_up(it: Duration) -> u64 {
    u64::try_from(it.as_nanos().div_ceil(1_000_000)).unwrap_or(u64::MAX)
}
