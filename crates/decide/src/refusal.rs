//! Refusals of requests.

use std::time::Duration;

/// The refusal of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// The reason.
    pub reason: Reason,
    /// Whether the request may have run.
    pub run: Run,
    /// The delay after which the caller may retry, if it can be estimated.
    pub retry_after: Option<Duration>,
}

/// The reason for a refusal.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Reason {
    /// The policy doesn't have the profile, or no longer has it.
    UnknownProfile,
    /// The policy doesn't have the service, or no longer has it.
    UnknownService,
    /// The customer may not use the profile, or isn't in the policy.
    NotAllowed,
    /// The customer has exceeded its request rate.
    RateLimited,
    /// The customer has too many requests in flight or queued.
    ConcurrencyLimited,
    /// The queue is full, the expected wait is too long, or an endpoint was at capacity.
    Overloaded,
    /// The request can't be completed before its deadline.
    Deadline,
    /// All versions that the customer may use are withdrawn.
    NoVersion,
    /// No live endpoint serves the service, the session's version or, without one, any version
    /// that the customer may use.
    NoEndpoint,
    /// The request would exceed the profile's cost cap.
    CostCap,
    /// The attempts failed or returned no acceptable response, and the request can't be attempted
    /// again.
    UpstreamFailed,
    /// The attempt failed after part of its response may have been relayed.
    AnswerCut,
    /// The host has no policy yet.
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
