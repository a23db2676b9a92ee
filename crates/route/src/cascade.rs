//! Which model answers.

/// A confidence below which an answer is dropped and the largest model asked.
///
/// A trial relay with a fixed bound served most at 60 of 40, 60, 75 and 90, on
/// both deployments (worth 0.727 and 0.672; see docs/design/platform.md).
const ENOUGH: u8 = 60;

/// Which of a route's models answers a request, from the smallest to the largest.
///
/// The smallest is asked first, since its answer costs a fifteenth of the
/// largest's and its confidence comes with the first token, before the caller
/// has any of the answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Cascade {
    models: usize,
    current: usize,
}

impl Cascade {
    /// A cascade over this many models.
    #[must_use]
    pub fn new(models: usize) -> Self {
        Self { models, current: 0 }
    }

    /// The model to ask, by its place among the route's.
    #[must_use]
    pub fn model(&self) -> Option<usize> {
        (self.models > 0).then_some(self.current)
    }

    /// Whether another model should answer instead, at this confidence.
    #[must_use]
    pub fn is_unsure(&self, confidence: Option<u8>) -> bool {
        self.current + 1 < self.models && confidence.is_some_and(|it| it < ENOUGH)
    }

    /// Goes on to the largest.
    pub fn escalate(&mut self) {
        self.current = self.models.saturating_sub(1);
    }
}
