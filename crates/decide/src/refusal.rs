//! Why a request is refused.

use std::time::Duration;

/// Why a request is refused, whether it may have run, and when to come back.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// The reason.
    pub reason: Reason,
    /// Whether it may have run.
    pub run: Run,
    /// When a new try has a chance, where that can be told.
    pub retry_after: Option<Duration>,
}

/// Reasons for a refusal that the decider can have.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Reason {
    /// The policy has no such profile (any more).
    UnknownProfile,
    /// The policy has no such service (any more).
    UnknownService,
    /// The customer may not use the profile.
    NotAllowed,
    /// The customer's rate is used up.
    RateLimited,
    /// The customer has too much in flight.
    ConcurrencyLimited,
    /// Too much is waiting.
    Overloaded,
    /// It can't be done before the deadline.
    Deadline,
    /// All allowed versions are withdrawn.
    NoVersion,
    /// No live endpoint has what it needs.
    NoEndpoint,
    /// It would cost more than the profile's cap.
    CostCap,
    /// The endpoints failed, and it may not or need not be tried again.
    UpstreamFailed,
    /// The answer broke off after part of it had been passed on.
    AnswerCut,
    /// No policy has come yet.
    NotReady,
}

/// Whether a refused request may have run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Run {
    /// No endpoint ran it.
    NotRun,
    /// An endpoint may have run it.
    Unknown,
}
