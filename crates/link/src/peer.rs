//! Whom to speak to.

use std::net::SocketAddr;

use derive_more::Display;
use kernel::HostName;

/// A host and where it takes frames; what is found there must prove the name.
#[derive(Clone, Debug, Display, PartialEq, Eq, Hash)]
#[display("{host} at {address}")]
pub struct Peer {
    /// The host.
    pub host: HostName,
    /// Its address for frames.
    pub address: SocketAddr,
}
