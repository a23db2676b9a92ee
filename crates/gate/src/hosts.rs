//! The answer to `GET /v1/hosts`.

use kernel::{DataCentre, HostName};
use serde::{Deserialize, Serialize};

/// One entry host that the caller may use.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Host {
    /// The host's name.
    pub name: HostName,
    /// IP number and port.
    pub address: String,
    /// Where it stands.
    pub data_centre: DataCentre,
}

/// Which entry hosts to use, best first.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Answer {
    /// Near and lightly loaded hosts first; leaving ones are omitted.
    pub hosts: Vec<Host>,
    /// Milliseconds for which the caller may keep this answer.
    pub keep_ms: u64,
    /// The ticket for calls that must not run twice, see [`crate::ticket`].
    pub ticket: String,
}
