//! How answers came.

use super::Tally;

/// How an answer came.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Sighting {
    /// Tells kinds of requests apart whose answers take different times.
    pub class: u64,
    /// Whether it is a failure, or none at all.
    pub failed: bool,
    /// Whether most of the endpoint's places were taken when it was asked.
    pub is_crowded: bool,
    /// How long a stream took to begin, in times of what its prompt should take.
    pub first: Option<f64>,
    /// The seconds that a whole answer took to begin.
    pub whole: Option<f64>,
    /// The seconds from one event to the next.
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
