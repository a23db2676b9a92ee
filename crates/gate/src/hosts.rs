//! The response to `GET /v1/hosts`.

use kernel::{DataCentre, HostName};
use serde::{Deserialize, Serialize};

/// One entry host that the caller may use.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Host {
    /// The host's name.
    pub name: HostName,
    /// IP address and port.
    pub address: String,
    /// The data centre it runs in.
    pub data_centre: DataCentre,
}

/// The entry hosts to use, in order of preference.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Answer {
    /// Near and lightly loaded hosts first. Hosts that are shutting down are
    /// omitted.
    pub hosts: Vec<Host>,
    /// Milliseconds for which the caller may cache this response.
    pub keep_ms: u64,
    /// The ticket for calls that must not run twice, see [`crate::ticket`].
    pub ticket: String,
}
