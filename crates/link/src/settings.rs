//! What a link needs to know.

use std::net::SocketAddr;
use std::time::Duration;

use crate::Keys;

/// Where to listen, with which keys, and the link's bounds.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Where to take frames; port 0 picks a free one.
    pub address: SocketAddr,
    /// The fleet's CA and this host's certificate and key.
    pub keys: Keys,
    /// An unused connection is dropped after this long.
    pub idle: Duration,
    /// How long a connection may take to come about.
    pub connect_timeout: Duration,
    /// A connection on which nothing came back for this long since something
    /// was sent is replaced by a new one.
    pub stall: Duration,
    /// How many frames may wait for one peer's connection.
    pub waiting: usize,
    /// How many received frames may wait to be taken; more are dropped and counted.
    pub inbox: usize,
}

impl Settings {
    /// The usual bounds.
    #[must_use]
    pub fn new(address: SocketAddr, keys: Keys) -> Self {
        Self {
            address,
            keys,
            idle: Duration::from_mins(1),
            connect_timeout: Duration::from_secs(2),
            stall: Duration::from_millis(1500),
            waiting: 64,
            inbox: 4096,
        }
    }
}
