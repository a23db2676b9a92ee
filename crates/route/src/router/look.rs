//! Endpoints that are asked what they are at.

use std::net::SocketAddr;

use crate::endpoint::Key;

/// An endpoint that is asked what it is at before a request is placed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Look {
    /// What this host calls it.
    pub endpoint: Key,
    /// Where it listens.
    pub address: SocketAddr,
}
