//! Settings of a link.

use std::net::SocketAddr;
use std::time::Duration;

use crate::Keys;

/// The address, keys and limits of a link.
#[derive(Clone, Debug)]
pub struct Settings {
    /// The address to listen on; port 0 selects a free port.
    pub address: SocketAddr,
    /// The fleet's CA and this host's certificate and key.
    pub keys: Keys,
    /// Time after which an idle connection is closed.
    pub idle_timeout: Duration,
    /// Timeout of a handshake, in either direction.
    pub connect_timeout: Duration,
    /// Time after a send within which the peer must have sent something; otherwise the next
    /// send or request opens a new connection.
    pub stall_timeout: Duration,
    /// Maximum number of frames queued per peer while the connection to it is being opened.
    pub max_queued_frames: usize,
    /// Maximum number of received frames that wait to be processed; further ones are
    /// dropped and counted.
    pub inbox_capacity: usize,
}

impl Settings {
    /// Creates settings with the default limits.
    #[must_use]
    pub fn new(address: SocketAddr, keys: Keys) -> Self {
        Self {
            address,
            keys,
            idle_timeout: Duration::from_mins(1),
            connect_timeout: Duration::from_secs(2),
            stall_timeout: Duration::from_millis(1500),
            max_queued_frames: 64,
            inbox_capacity: 4096,
        }
    }
}
