/// What a version makes of a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Answer {
    pub(crate) good: bool,
    /// What the engine reports, `0.0..=1.0`; all that a router sees at once.
    pub(crate) confidence: f64,
    /// The answer is bad only because of a fault of the scenario.
    pub(crate) harmed: bool,
    /// There is no answer: the engine fails.
    pub(crate) error: bool,
}
