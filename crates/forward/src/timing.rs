//! Time-outs towards endpoints and callers.

use std::time::Duration;

/// Time-outs towards endpoints and callers. Each is a guard against a peer that
/// has gone silent without closing its connection.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Timing {
    /// How long a connection to an endpoint may take to open. Within a region
    /// it takes 3 ms; a lost opening packet is sent again only after a second.
    pub connect: Duration,
    /// How long a connection may have been idle before a request that may run
    /// only once is sent on it. Endpoints close idle connections after seconds,
    /// and a close that crosses the request leaves open whether it ran.
    pub warm: Duration,
    /// The same for requests that may run again.
    pub idle: Duration,
    /// The part of a route's aim after which an endpoint that hasn't begun to
    /// answer is given up for another, where the request may run again.
    pub first_part: f64,
    /// The part of a stream's longest pause after which it is resumed elsewhere.
    pub pause_part: f64,
    /// How long after a host's start requests wait for its first configuration and
    /// endpoints. They are there within 50 ms where others run, and within a quarter
    /// of a second where hundreds start at once; a refusal would have each caller come
    /// back later instead. What a host hasn't heard by then it won't hear soon.
    pub start: Duration,
    /// How long a caller may take no byte of its answer.
    pub write: Duration,
    /// How long a closed connection is read on, so that unread bytes don't
    /// reset it before the caller has read the answer.
    pub linger: Duration,
}

impl Default for Timing {
    fn default() -> Self {
        Self {
            connect: Duration::from_millis(300),
            warm: Duration::from_millis(300),
            idle: Duration::from_secs(4),
            first_part: 0.6,
            pause_part: 0.7,
            start: Duration::from_millis(600),
            write: Duration::from_secs(10),
            linger: Duration::from_millis(500),
        }
    }
}
