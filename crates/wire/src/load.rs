//! The load of a host.

use std::time::Duration;

use kernel::HostName;
use serde::{Deserialize, Serialize};

/// The load of a host, reported by itself or forwarded by another host.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Load {
    /// The host.
    pub host: HostName,
    /// The load, from 0 (idle) to 255 (full).
    pub level: u8,
    /// Time since the host reported it.
    #[serde(with = "crate::millis")]
    pub age: Duration,
}
