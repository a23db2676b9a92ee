//! Outcomes of attempts.

/// The outcome of an attempt.
///
/// The driver reports [`Self::NotSent`] only if no byte of the request can have left the host, and
/// [`Self::Denied`] only if the endpoint itself refused the request. After any other outcome the
/// request may have run.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Outcome {
    /// A model returned a complete response.
    Answered(Answer),
    /// A plain service returned a complete response.
    Served,
    /// No byte of the request was sent, for example because the connection failed.
    NotSent,
    /// The endpoint refused the request without running it.
    Denied(Denial),
    /// The attempt failed with an error. The request may have run.
    Failed,
    /// The attempt timed out after bytes of the request may have been sent.
    TimedOut,
    /// The response ended prematurely after its first byte.
    Cut,
}

/// A complete response of a model.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Answer {
    /// The engine's confidence that the response is good, from 0 to 1.
    pub confidence: f64,
    /// The number of prompt tokens charged.
    pub prompt_tokens: u32,
    /// The number of completion tokens charged.
    pub completion_tokens: u32,
}

/// The reason why an endpoint refused a request without running it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Denial {
    /// The version isn't loaded at the endpoint.
    NotLoaded,
    /// The endpoint is at capacity.
    Overloaded,
    /// The endpoint is shutting down.
    Leaving,
    /// Another process is now listening at the endpoint's address.
    WrongIncarnation,
}

impl Outcome {
    /// Returns whether the request certainly didn't run.
    #[must_use]
    pub fn not_run(self) -> bool {
        matches!(self, Self::NotSent | Self::Denied(_))
    }
}

impl From<Outcome> for crate::refusal::Run {
    fn from(outcome: Outcome) -> Self {
        if outcome.not_run() {
            Self::NotRun
        } else {
            Self::Unknown
        }
    }
}
