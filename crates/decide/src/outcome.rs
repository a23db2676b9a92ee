//! How an attempt ended.

/// How an attempt ended.
///
/// The driver chooses the first that it can prove: [`Self::NotSent`] only when
/// no byte of the request can have left the host, [`Self::Denied`] only on the
/// endpoint's own refusal. All else may have run.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Outcome {
    /// A whole answer of a model.
    Answered(Answer),
    /// A whole answer of a plain service.
    Served,
    /// No byte left: no connection.
    NotSent,
    /// The endpoint says that it ran nothing.
    Denied(Denial),
    /// An error came instead of an answer; it may have run.
    Failed,
    /// The attempt's timeout passed after bytes may have left.
    TimedOut,
    /// The answer broke off after its first byte.
    Cut,
}

/// A whole answer of a model.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Answer {
    /// How sure the engine is that the answer is good, 0 to 1.
    pub confidence: f64,
    /// Prompt tokens charged.
    pub prompt_tokens: u32,
    /// Completion tokens charged.
    pub completion_tokens: u32,
}

/// Why an endpoint ran nothing.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Denial {
    /// The version isn't loaded there.
    NotLoaded,
    /// It is full.
    Overloaded,
    /// It is leaving.
    Leaving,
    /// Another process lives at this address now.
    WrongIncarnation,
}

impl Outcome {
    /// Whether the endpoint provably ran nothing.
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
