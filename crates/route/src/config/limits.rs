//! Limits on callers' requests and connections.

use std::time::Duration;

/// Limits on callers' requests and connections.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Limits {
    /// The maximum size of a request's head, in bytes.
    pub header_bytes: usize,
    /// The maximum size of a request's body, in bytes.
    pub body_bytes: usize,
    /// The maximum time from the first byte of a request's head to its last.
    pub header_time: Duration,
    /// The maximum time that a connection may be idle between requests.
    pub idle_time: Duration,
}

impl Default for Limits {
    /// Returns the limits that apply until a configuration is loaded. They are lenient, so
    /// that a starting host doesn't reject valid requests.
    fn default() -> Self {
        Self {
            header_bytes: 16 * 1024,
            body_bytes: 4 * 1024 * 1024,
            header_time: Duration::from_secs(3),
            idle_time: Duration::from_secs(15),
        }
    }
}
