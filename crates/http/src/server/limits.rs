//! What peers may ask of a server.

use std::time::Duration;

/// Limits on what peers may send, and how slowly.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Time for a head, from its first byte.
    pub head_time: Duration,
    /// Time for a body, from the end of the head.
    pub body_time: Duration,
    /// Time for which a connection may wait for its next request.
    pub idle_time: Duration,
    /// Time for which a caller may take nothing of its answer.
    pub write_time: Duration,
    /// Size of a head, in bytes; at most 8,191.
    pub max_head: usize,
    /// Size of a body, in bytes.
    pub max_body: usize,
    /// Time for which a connection stays open after its accept, and after each
    /// answer that didn't ask its caller to close, also when the server stops.
    /// Longer than [`Pool::warm`](crate::Pool::warm) of its callers and the
    /// way there: the next request may be on its way already.
    pub keep_time: Duration,
    /// Connections at the same time.
    pub max_connections: usize,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            head_time: Duration::from_secs(10),
            body_time: Duration::from_mins(1),
            idle_time: Duration::from_mins(1),
            write_time: Duration::from_secs(30),
            keep_time: Duration::from_secs(1),
            max_head: 8 * 1024 - 1,
            max_body: 8 * 1024 * 1024,
            max_connections: 10_000,
        }
    }
}
