//! Observations of single responses.

use super::ResponseCounts;

/// The outcome and latencies of one response.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Observation {
    /// Groups requests whose latencies are comparable.
    pub class: u64,
    /// Whether the request failed or got no response.
    pub failed: bool,
    /// Whether the endpoint was crowded when the request was sent or when it reported its load in
    /// the response. False for timeouts.
    pub is_crowded: bool,
    /// Time until the response started, relative to the time expected for its prompt, if the route
    /// chooses the model.
    pub relative_start: Option<f64>,
    /// Seconds until the response started, if the route doesn't choose the model.
    pub response_start: Option<f64>,
    /// Mean seconds between two events.
    pub event_interval: Option<f64>,
}

impl Observation {
    pub(super) fn counts(&self) -> ResponseCounts {
        ResponseCounts {
            responses: 1,
            failures: u32::from(self.failed),
        }
    }
}
