//! Other hosts through which this host forwards requests while it is cut off from all endpoints.
//!
//! See `docs/design/unreachable-endpoints.md`.

use std::net::SocketAddr;

use kernel::DataCentre;

/// Another host that reaches endpoints.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Relay {
    /// The host's address for callers.
    pub address: SocketAddr,
    /// The host's data centre.
    pub data_centre: DataCentre,
}

/// The state of a request that another host forwards to this one. The receiving host doesn't
/// forward it to a third one: requests would otherwise circulate when no host reaches endpoints.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Relayed {
    /// The version of the sender's configuration. A host with an older one refuses the request:
    /// the caller may have seen the effects of the newer one.
    pub version: u64,
    /// The attempts that the sender has made. They count against the route's limit.
    pub attempts: u32,
}
