//! Observations of single responses.

use super::Tally;

/// The outcome and latencies of one response.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Sighting {
    /// Groups requests whose latencies are comparable.
    pub class: u64,
    /// Whether the request failed or got no response.
    pub failed: bool,
    /// Whether most of the endpoint's slots were in use when the request was sent.
    pub is_crowded: bool,
    /// Time until the stream started, relative to the time expected for its prompt.
    pub first: Option<f64>,
    /// Seconds until a complete response started.
    pub whole: Option<f64>,
    /// Mean seconds between two events.
    pub step: Option<f64>,
}

impl Sighting {
    pub(super) fn tally(&self) -> Tally {
        Tally {
            answers: 1,
            bad: u32::from(self.failed),
        }
    }
}
