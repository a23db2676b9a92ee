//! The progress of a request in a queue.

use std::time::Duration;

/// What the progress of a request in an endpoint's queue depends on.
#[derive(Clone, Copy, Debug)]
pub(super) struct Progress {
    /// The time for which a request occupies a slot.
    pub(super) service_time: Duration,
    /// The fraction of the waiting requests that start before this one.
    pub(super) fraction_ahead: f64,
    /// The fraction of the slots' time that later requests take before this one. Less than 1.
    pub(super) fraction_overtaking: f64,
}
