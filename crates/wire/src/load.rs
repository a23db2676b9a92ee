//! How busy a host is.

use std::time::Duration;

use kernel::HostName;
use serde::{Deserialize, Serialize};

/// A host's load as a neighbour passes it on.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Load {
    /// The host.
    pub host: HostName,
    /// From 0 (idle) to 255 (full).
    pub level: u8,
    /// How long ago the host said so.
    #[serde(with = "crate::millis")]
    pub age: Duration,
}
