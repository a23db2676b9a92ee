//! Refusals of requests.

use std::time::Duration;

use super::Shortage;

/// The refusal of a request, which has not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Refusal {
    pub(crate) shortage: Shortage,
    /// The delay after which the caller should retry.
    pub(crate) retry_after: Duration,
}
