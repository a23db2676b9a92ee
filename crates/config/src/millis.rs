//! Serialization of durations as integers of milliseconds, for
//! `#[serde(with = "crate::millis")]`.

use std::time::Duration;

use serde::{Deserialize, Deserializer, Serialize, Serializer};

pub(crate) fn serialize<S: Serializer>(
    duration: &Duration,
    serializer: S,
) -> Result<S::Ok, S::Error> {
    u64::try_from(duration.as_millis())
        .unwrap_or(u64::MAX)
        .serialize(serializer)
}

pub(crate) fn deserialize<'de, D: Deserializer<'de>>(
    deserializer: D,
) -> Result<Duration, D::Error> {
    u64::deserialize(deserializer).map(Duration::from_millis)
}
