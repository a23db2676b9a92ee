/// A version's response to a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Response {
    pub(crate) good: bool,
    /// The confidence that the engine reports, `0.0..=1.0`.
    pub(crate) confidence: f64,
    /// Whether the response is bad only because of a fault of the scenario.
    pub(crate) harmed: bool,
    /// Whether the engine fails instead of responding.
    pub(crate) error: bool,
}
