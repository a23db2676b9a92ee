//! What callers may send.

use std::time::Duration;

/// What callers may send, and how long they may take.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Limits {
    /// The longest head of a request, in bytes.
    pub header_bytes: usize,
    /// The longest body of a request, in bytes.
    pub body_bytes: usize,
    /// How long a head may take from its first byte to its last.
    pub header_time: Duration,
    /// How long a connection may be idle between requests.
    pub idle_time: Duration,
}

impl Default for Limits {
    /// The limits until a configuration has come. They are no tighter than the
    /// ones of any deployment that was met, so that nobody is refused by them.
    fn default() -> Self {
        Self {
            header_bytes: 16 * 1024,
            body_bytes: 4 * 1024 * 1024,
            header_time: Duration::from_secs(3),
            idle_time: Duration::from_secs(15),
        }
    }
}
