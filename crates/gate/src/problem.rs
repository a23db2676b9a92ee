//! Refusals as problem documents (RFC 9457).

use std::time::Duration;

use derive_more::Display;
use serde::{Deserialize, Serialize};

/// The media type of a problem document.
pub const MEDIA_TYPE: &str = "application/problem+json";

/// What is known about the execution of a request that got no answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Run {
    /// It is proved that no endpoint ran it: the caller may repeat it safely.
    NotRun,
    /// An endpoint may have run it, in part or whole.
    Unknown,
}

/// Why a request was refused. The set is closed, so that callers may match on
/// it and each member has its own counter.
#[derive(
    Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(rename_all = "snake_case")]
pub enum Reason {
    /// The request can't be read; the detail names the field.
    #[display("bad_request")]
    BadRequest,
    /// No key, or one that belongs to nobody.
    #[display("unauthorized")]
    Unauthorized,
    /// There is nothing at this path.
    #[display("not_found")]
    NotFound,
    /// No profile of this name is configured.
    #[display("unknown_profile")]
    UnknownProfile,
    /// No plain service of this name is configured.
    #[display("unknown_service")]
    UnknownService,
    /// The customer may not use this profile or service.
    #[display("not_allowed")]
    NotAllowed,
    /// The body or prompt exceeds a limit.
    #[display("too_large")]
    TooLarge,
    /// The customer sends more than its share.
    #[display("rate_limited")]
    RateLimited,
    /// The customer has too many requests open.
    #[display("concurrency_limited")]
    ConcurrencyLimited,
    /// The endpoints have no room for this priority.
    #[display("overloaded")]
    Overloaded,
    /// The deadline can't be met or has passed.
    #[display("deadline")]
    Deadline,
    /// Every version that the customer may use is withdrawn or quarantined.
    #[display("no_version")]
    NoVersion,
    /// No endpoint serves what is needed.
    #[display("no_endpoint")]
    NoEndpoint,
    /// No allowed version fits the profile's cost limit.
    #[display("cost_cap")]
    CostCap,
    /// This host can't prove that its configuration is the newest.
    #[display("stale")]
    Stale,
    /// This host has no configuration yet.
    #[display("not_ready")]
    NotReady,
    /// This host is shutting down.
    #[display("leaving")]
    Leaving,
    /// The platform's store is needed and doesn't answer.
    #[display("store_out")]
    StoreOut,
    /// Another arrival of the same request is running.
    #[display("in_progress")]
    InProgress,
    /// The host that held the request is gone, its outcome with it.
    #[display("holder_gone")]
    HolderGone,
    /// The idempotency key was used for another body.
    #[display("key_reused")]
    KeyReused,
    /// The endpoints failed.
    #[display("upstream_failed")]
    UpstreamFailed,
    /// The answer broke off after it had begun.
    #[display("answer_cut")]
    AnswerCut,
    /// Another operator changed the same entry first.
    #[display("conflict")]
    Conflict,
}

impl Reason {
    /// Every reason, for counters and tables.
    pub const ALL: [Self; 24] = [
        Self::BadRequest,
        Self::Unauthorized,
        Self::NotFound,
        Self::UnknownProfile,
        Self::UnknownService,
        Self::NotAllowed,
        Self::TooLarge,
        Self::RateLimited,
        Self::ConcurrencyLimited,
        Self::Overloaded,
        Self::Deadline,
        Self::NoVersion,
        Self::NoEndpoint,
        Self::CostCap,
        Self::Stale,
        Self::NotReady,
        Self::Leaving,
        Self::StoreOut,
        Self::InProgress,
        Self::HolderGone,
        Self::KeyReused,
        Self::UpstreamFailed,
        Self::AnswerCut,
        Self::Conflict,
    ];

    /// The HTTP status that goes with it.
    #[must_use]
    pub fn status(self) -> u16 {
        match self {
            Self::BadRequest => 400,
            Self::Unauthorized => 401,
            Self::NotAllowed => 403,
            Self::NotFound | Self::UnknownProfile | Self::UnknownService => 404,
            Self::InProgress | Self::HolderGone | Self::Conflict => 409,
            Self::TooLarge => 413,
            Self::CostCap | Self::KeyReused => 422,
            Self::RateLimited | Self::ConcurrencyLimited => 429,
            Self::UpstreamFailed | Self::AnswerCut => 502,
            Self::Overloaded
            | Self::NoVersion
            | Self::NoEndpoint
            | Self::Stale
            | Self::NotReady
            | Self::Leaving
            | Self::StoreOut => 503,
            Self::Deadline => 504,
        }
    }

    /// The title: the same for every refusal of this reason.
    #[must_use]
    pub fn title(self) -> &'static str {
        match self {
            Self::BadRequest => "The request can't be read",
            Self::Unauthorized => "The key is missing or unknown",
            Self::NotFound => "There is nothing at this path",
            Self::UnknownProfile => "The profile is unknown",
            Self::UnknownService => "The service is unknown",
            Self::NotAllowed => "The customer may not use this",
            Self::TooLarge => "The request is too large",
            Self::RateLimited => "The customer sends too fast",
            Self::ConcurrencyLimited => "The customer has too many requests open",
            Self::Overloaded => "The endpoints are full",
            Self::Deadline => "The deadline can't be met",
            Self::NoVersion => "No allowed version is in service",
            Self::NoEndpoint => "No endpoint can take the request",
            Self::CostCap => "No allowed version fits the cost limit",
            Self::Stale => "The configuration may be out of date",
            Self::NotReady => "This host is not ready",
            Self::Leaving => "This host is leaving",
            Self::StoreOut => "The store does not answer",
            Self::InProgress => "The same request is running",
            Self::HolderGone => "The outcome of the request is lost",
            Self::KeyReused => "The idempotency key was used for another request",
            Self::UpstreamFailed => "The endpoints failed",
            Self::AnswerCut => "The answer broke off",
            Self::Conflict => "The entry was changed by someone else",
        }
    }

    /// When a repeat makes sense, for a refusal that names no better time.
    ///
    /// Failure: a caller that is told to go away and not when to come back
    /// asks again at once, and a host in trouble gets more calls than before.
    /// It shows as a flood of refusals. Every reason that passes by itself
    /// has a time here, so that no path can forget it.
    #[must_use]
    pub fn retry_after(self) -> Option<Duration> {
        match self {
            // Another host takes it now.
            Self::Leaving => Some(Duration::from_millis(100)),
            Self::RateLimited
            | Self::ConcurrencyLimited
            | Self::Overloaded
            | Self::NoVersion
            | Self::NoEndpoint
            | Self::Stale
            | Self::NotReady
            | Self::StoreOut
            | Self::InProgress => Some(Duration::from_secs(1)),
            Self::BadRequest
            | Self::Unauthorized
            | Self::NotFound
            | Self::UnknownProfile
            | Self::UnknownService
            | Self::NotAllowed
            | Self::TooLarge
            | Self::Deadline
            | Self::CostCap
            | Self::HolderGone
            | Self::KeyReused
            | Self::UpstreamFailed
            | Self::AnswerCut
            | Self::Conflict => None,
        }
    }

    /// Whether a refusal for this reason can ever prove that nothing ran.
    ///
    /// The reasons that exist only because something may have run can't.
    #[must_use]
    pub fn provable(self) -> bool {
        !matches!(self, Self::InProgress | Self::HolderGone | Self::AnswerCut)
    }
}

/// A refusal as its caller reads it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Problem {
    /// A reference that names the reason.
    #[serde(rename = "type")]
    pub kind: String,
    /// The reason's title.
    pub title: String,
    /// The HTTP status.
    pub status: u16,
    /// What is wrong with this very request.
    pub detail: String,
    /// The reason.
    pub reason: Reason,
    /// Whether an endpoint may have run the request.
    pub run: Run,
    /// Milliseconds after which a repeat makes sense.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub retry_after_ms: Option<u64>,
    /// The request as this host named it; empty before it had a name.
    #[serde(default, skip_serializing_if = "String::is_empty")]
    pub request: String,
}

impl Problem {
    /// Builds the refusal. A reason that can't prove that nothing ran says
    /// [`Run::Unknown`] whatever `run` is, so that "not run" is never false.
    #[must_use]
    pub fn new(reason: Reason, run: Run, detail: impl Into<String>) -> Self {
        let problem = Self {
            kind: format!("urn:barleypin:problem:{reason}"),
            title: reason.title().to_owned(),
            status: reason.status(),
            detail: detail.into(),
            reason,
            run: if reason.provable() { run } else { Run::Unknown },
            retry_after_ms: None,
            request: String::new(),
        };
        problem.retry_after(reason.retry_after())
    }

    /// A refusal at the door, before anything was sent anywhere.
    #[must_use]
    pub fn not_run(reason: Reason, detail: impl Into<String>) -> Self {
        Self::new(reason, Run::NotRun, detail)
    }

    /// Says when a repeat makes sense, where more is known than [`Reason::retry_after`].
    #[must_use]
    pub fn retry_after(mut self, after: Option<Duration>) -> Self {
        if let Some(after) = after {
            self.retry_after_ms = Some(u64::try_from(after.as_millis()).unwrap_or(u64::MAX));
        }
        self
    }

    /// Names the request.
    #[must_use]
    pub fn of_request(mut self, request: &str) -> Self {
        request.clone_into(&mut self.request);
        self
    }

    /// The value of `Retry-After`, in whole seconds, rounded up.
    #[must_use]
    pub fn retry_after_seconds(&self) -> Option<u64> {
        self.retry_after_ms.map(|ms| ms.div_ceil(1000))
    }

    /// The document.
    #[must_use]
    pub fn to_json(&self) -> String {
        serde_json::to_string(self).expect("a problem holds only text and numbers")
    }
}
