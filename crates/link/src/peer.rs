//! The name and address of another host.

use std::net::SocketAddr;

use derive_more::Display;
use kernel::HostName;

/// A host and its address. A connection to the address is used only if the host's
/// certificate contains the name.
#[derive(Clone, Debug, Display, PartialEq, Eq, Hash)]
#[display("{host} at {address}")]
pub struct Peer {
    /// The name in the host's certificate.
    pub host: HostName,
    /// The address at which the host receives frames.
    pub address: SocketAddr,
}
