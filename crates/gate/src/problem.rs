//! Error responses as problem documents (RFC 9457).

use std::time::Duration;

use derive_more::Display;
use serde::{Deserialize, Serialize};

/// The media type of a problem document.
pub const MEDIA_TYPE: &str = "application/problem+json";

/// Whether an endpoint may have run a request that got no response.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Run {
    /// Provably no endpoint ran the request, so the caller may safely retry it.
    NotRun,
    /// An endpoint may have run the request, partly or completely.
    Unknown,
}

/// The reason why a request was refused.
///
/// The set is closed: callers may match on it, and each reason has its own
/// counter.
#[derive(
    Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(rename_all = "snake_case")]
pub enum Reason {
    /// The request is invalid; the detail names the header or field.
    #[display("bad_request")]
    BadRequest,
    /// The API key is missing or unknown.
    #[display("unauthorized")]
    Unauthorized,
    /// No resource exists at this path.
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
    /// The body, the number of messages or their total size exceeds a limit.
    #[display("too_large")]
    TooLarge,
    /// The customer exceeds its rate limit.
    #[display("rate_limited")]
    RateLimited,
    /// The customer has too many open requests.
    #[display("concurrency_limited")]
    ConcurrencyLimited,
    /// The endpoints or this host have no capacity left for the request, or the
    /// configuration changes too fast for an operator's change to be applied.
    #[display("overloaded")]
    Overloaded,
    /// The deadline can't be met or has passed.
    #[display("deadline")]
    Deadline,
    /// Every version that the customer may use is withdrawn.
    #[display("no_version")]
    NoVersion,
    /// No endpoint is available to serve the request.
    #[display("no_endpoint")]
    NoEndpoint,
    /// No allowed version fits the profile's cost limit.
    #[display("cost_cap")]
    CostCap,
    /// This host can't prove that its configuration is the newest.
    #[display("stale")]
    Stale,
    /// This host has no configuration yet, can't read the committed configuration or
    /// dropped the call.
    #[display("not_ready")]
    NotReady,
    /// This host is shutting down.
    #[display("leaving")]
    Leaving,
    /// The platform's store is required and doesn't respond.
    #[display("store_out")]
    StoreOut,
    /// Another copy of the same request is running.
    #[display("in_progress")]
    InProgress,
    /// The host that ran the request or alone may run it is gone or doesn't respond,
    /// or the request's ticket has expired; the outcome is unknown.
    #[display("holder_gone")]
    HolderGone,
    /// The idempotency key or change id was already used for another request.
    #[display("key_reused")]
    KeyReused,
    /// The endpoints failed, or an earlier request with the same idempotency key
    /// was sent to one and got no response.
    #[display("upstream_failed")]
    UpstreamFailed,
    /// The request may have been run, but its complete response isn't available:
    /// it was cut off or is no longer stored.
    #[display("answer_cut")]
    AnswerCut,
    /// Another operator changed the same entry first.
    #[display("conflict")]
    Conflict,
}

impl Reason {
    /// All reasons.
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

    /// Returns the HTTP status of the reason.
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

    /// Returns the title of problem documents with this reason.
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

    /// Returns the default delay after which a caller may retry.
    ///
    /// Without a delay, refused callers retry at once and flood a host that is
    /// already in trouble. [`Problem::new`] applies the delay, so that its callers
    /// needn't. Returns `None` for reasons that a later retry doesn't resolve, and
    /// for some that may be temporary, such as [`Self::Deadline`] and
    /// [`Self::UpstreamFailed`].
    #[must_use]
    pub fn retry_after(self) -> Option<Duration> {
        match self {
            // Another host can take the request now.
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

    /// Returns whether a refusal with this reason can state that no endpoint ran
    /// the request.
    ///
    /// False for the reasons under which this host can't rule out that an endpoint
    /// ran it, possibly through another host or an earlier request with the same
    /// idempotency key.
    #[must_use]
    pub fn can_prove_not_run(self) -> bool {
        !matches!(self, Self::InProgress | Self::HolderGone | Self::AnswerCut)
    }
}

/// The body of a refusal.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Problem {
    /// A URN that identifies the reason.
    #[serde(rename = "type")]
    pub kind: String,
    /// The reason's title.
    pub title: String,
    /// The HTTP status.
    pub status: u16,
    /// The description of this occurrence of the problem.
    pub detail: String,
    /// The reason.
    pub reason: Reason,
    /// Whether an endpoint may have run the request.
    pub run: Run,
    /// Milliseconds after which the caller may retry.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub retry_after_ms: Option<u64>,
    /// The request id that this host assigned; empty if none was assigned.
    #[serde(default, skip_serializing_if = "String::is_empty")]
    pub request: String,
}

impl Problem {
    /// Builds a refusal.
    ///
    /// If the reason can't prove that no endpoint ran the request, `run` is
    /// replaced with [`Run::Unknown`], so that [`Run::NotRun`] is never claimed
    /// wrongly.
    #[must_use]
    pub fn new(reason: Reason, run: Run, detail: impl Into<String>) -> Self {
        let problem = Self {
            kind: format!("urn:barleypin:problem:{reason}"),
            title: reason.title().to_owned(),
            status: reason.status(),
            detail: detail.into(),
            reason,
            run: if reason.can_prove_not_run() {
                run
            } else {
                Run::Unknown
            },
            retry_after_ms: None,
            request: String::new(),
        };
        problem.retry_after(reason.retry_after())
    }

    /// Builds a refusal of a request that no endpoint ran.
    #[must_use]
    pub fn not_run(reason: Reason, detail: impl Into<String>) -> Self {
        Self::new(reason, Run::NotRun, detail)
    }

    /// Overrides the delay from [`Reason::retry_after`]; `None` keeps it.
    #[must_use]
    pub fn retry_after(mut self, after: Option<Duration>) -> Self {
        if let Some(after) = after {
            self.retry_after_ms = Some(u64::try_from(after.as_millis()).unwrap_or(u64::MAX));
        }
        self
    }

    /// Sets the request id.
    #[must_use]
    pub fn of_request(mut self, request: &str) -> Self {
        request.clone_into(&mut self.request);
        self
    }

    /// Returns the value of the `Retry-After` header, in whole seconds, rounded up.
    #[must_use]
    pub fn retry_after_seconds(&self) -> Option<u64> {
        self.retry_after_ms.map(|ms| ms.div_ceil(1000))
    }

    /// Returns the problem document as JSON.
    #[must_use]
    pub fn to_json(&self) -> String {
        serde_json::to_string(self).expect("a problem contains only text and numbers")
    }
}
