//! Timeouts for endpoints and callers.

use std::time::Duration;

/// Timeouts for endpoints and callers, against peers that stop responding without closing
/// their connection.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Timeouts {
    /// The timeout for opening a connection to an endpoint. Shorter than TCP's retransmission
    /// timeout for a lost SYN (one second), so that another endpoint is tried instead.
    pub connect: Duration,
    /// The longest idle time of a connection on which a request that must run at most once is
    /// sent. Endpoints close idle connections, and if a close crosses the request, it is
    /// unknown whether the request ran.
    pub at_most_once_max_idle: Duration,
    /// The same for idempotent requests.
    pub idempotent_max_idle: Duration,
    /// The shortest wait for the start of a response before an idempotent request may be
    /// retried at another endpoint, as a fraction of the route's target latency. The wait is
    /// longer if responses are expected to take longer: see [`route::Router::response_timeout`].
    pub response_start_fraction: f64,
    /// The fraction of a stream's maximum pause after which it is resumed at another endpoint.
    pub pause_fraction: f64,
    /// The time after the start of the host until which requests wait for the first configuration
    /// and endpoints. Otherwise each caller would be refused and have to retry.
    pub startup_wait: Duration,
    /// The timeout for writing a part of a stream to a caller.
    pub write: Duration,
    /// The time limit for reading what a caller still sends, before its connection is closed.
    /// Closing with unread bytes would reset it before the caller has read the response.
    pub linger: Duration,
}

impl Default for Timeouts {
    fn default() -> Self {
        Self {
            connect: Duration::from_millis(300),
            at_most_once_max_idle: Duration::from_millis(300),
            idempotent_max_idle: Duration::from_secs(4),
            response_start_fraction: 0.6,
            pause_fraction: 0.7,
            startup_wait: Duration::from_millis(600),
            write: Duration::from_secs(10),
            linger: Duration::from_millis(500),
        }
    }
}
