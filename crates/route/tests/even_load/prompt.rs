//! Requests as endpoints receive them.

use std::time::Duration;

/// An attempt of a request: the request's index and the attempt's number.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Task {
    pub(crate) request: usize,
    pub(crate) attempt: u32,
}

/// A request as an endpoint receives it.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Prompt {
    pub(crate) task: Task,
    pub(crate) priority: u8,
    pub(crate) model: usize,
    pub(crate) tokens: u64,
    pub(crate) prefix: Option<(u64, u64)>,
    pub(crate) events: u32,
    pub(crate) arrived: Duration,
    /// The time from its arrival to its prefill.
    pub(crate) waited: Duration,
    /// Whether the host has closed the connection during the prefill.
    pub(crate) is_cancelled: bool,
}
