//! Limits of a server.

use std::time::Duration;

/// Timeouts, and limits on what peers may send.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Timeout of receiving a head, from its first byte.
    pub head_timeout: Duration,
    /// Timeout of receiving a body, from the end of the head.
    pub body_timeout: Duration,
    /// Timeout of waiting for the next request on a connection.
    pub idle_timeout: Duration,
    /// Timeout of each write of a response.
    pub write_timeout: Duration,
    /// Maximum size of a head, in bytes. Values above 8,191 have the effect of 8,191.
    pub max_head: usize,
    /// Maximum size of a body, in bytes.
    pub max_body: usize,
    /// Minimum time for which a served connection is kept open after its accept, and after each
    /// response that didn't ask the caller to close it, even if the server shuts down, unless
    /// `idle_timeout` is shorter. Should be longer than
    /// [`PoolLimits::max_idle_time_at_most_once`](crate::PoolLimits::max_idle_time_at_most_once)
    /// of the callers plus the network latency, because a request may already have been sent.
    pub min_open_time: Duration,
    /// Maximum number of connections served; further ones are rejected with status 503.
    pub max_connections: usize,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            head_timeout: Duration::from_secs(10),
            body_timeout: Duration::from_mins(1),
            idle_timeout: Duration::from_mins(1),
            write_timeout: Duration::from_secs(30),
            min_open_time: Duration::from_secs(1),
            max_head: 8 * 1024 - 1,
            max_body: 8 * 1024 * 1024,
            max_connections: 10_000,
        }
    }
}
