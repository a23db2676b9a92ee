//! The reports on requests and attempts.

use std::time::Duration;

use kernel::RequestId;
use route::{Denial, Ending, Failure, Fingerprint, Pace, PartId, Placement, RequestRate, Withheld};

/// The report on a request that has ended.
#[derive(Clone, Debug)]
pub struct RequestReport<'a> {
    /// The request id.
    pub id: &'a RequestId,
    /// The request's fingerprint, if it was accepted for forwarding or quarantined.
    pub fingerprint: Option<Fingerprint>,
    /// Its route, if it was accepted for forwarding.
    pub route: Option<&'a str>,
    /// The customer, if the route requires a key and the configuration has customers.
    pub customer: Option<&'a str>,
    /// The outcome of the request.
    pub outcome: Outcome,
    /// The status of the response to the caller, or 0 if there was none or the request was
    /// cancelled because the caller disconnected.
    pub status: u16,
    /// The time from the request's head to the first part of an endpoint's response.
    pub time_to_first_byte: Option<Duration>,
    /// The longest time between two parts of the response that came from the same attempt.
    pub max_pause: Option<Duration>,
    /// The time from the request's head to its end.
    pub total: Duration,
    /// The number of attempts that count against the route's limit. Attempts that weren't sent
    /// are left out, except for the last one.
    pub attempts: u32,
    /// The number of events of a stream that were passed to the response writer.
    pub events: u64,
    /// Its attempts in order, each with the endpoint, the ending and the duration in
    /// milliseconds.
    pub trail: &'a str,
    /// A summary of how its attempts ended.
    pub attempt_summary: AttemptSummary,
    /// The version of the configuration in force.
    pub config_version: Option<u64>,
}

/// The outcome of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// An endpoint's complete response was forwarded.
    Answered,
    /// It was denied before an endpoint was chosen.
    Denied(Denial),
    /// The caller requested a stream and can't read chunked encoding.
    Rejected,
    /// It failed. With [`Failure::Passed`] an endpoint's error response may have been forwarded.
    Failed(Failure),
    /// The caller disconnected, or the response couldn't be written to it.
    CallerGone,
}

/// The result of forwarding a request through another host.
#[derive(Clone, Copy, Debug, PartialEq, Eq, derive_more::Display)]
pub enum RelayResult {
    /// The complete response was written to the caller.
    #[display("relayed")]
    Delivered,
    /// The caller disconnected.
    #[display("caller_gone")]
    CallerGone,
    /// The request has not run there.
    #[display("not_run")]
    NotRun,
    /// The request failed, or its response is lost.
    #[display("failed")]
    Failed,
}

impl RelayResult {
    /// All variants.
    pub const ALL: [Self; 4] = [
        Self::Delivered,
        Self::CallerGone,
        Self::NotRun,
        Self::Failed,
    ];
}

/// A summary of how a request's attempts ended.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum AttemptSummary {
    /// Every attempt ended as [`Ending::Answered`] or [`Ending::LowConfidence`], or there was
    /// none.
    #[default]
    NoneFailed,
    /// At least one attempt ended otherwise.
    SomeFailed,
}

impl From<Ending> for AttemptSummary {
    fn from(ending: Ending) -> Self {
        match ending {
            Ending::Answered | Ending::LowConfidence => Self::NoneFailed,
            _ => Self::SomeFailed,
        }
    }
}

/// The report on an attempt that has ended.
#[derive(Clone, Debug)]
pub struct AttemptReport<'a> {
    /// The request id.
    pub id: &'a RequestId,
    /// The request's fingerprint.
    pub fingerprint: Fingerprint,
    /// The parts of the prompt that other requests may share.
    pub parts: &'a [PartId],
    /// The number of the attempt within the request, from 1. An attempt that wasn't sent has
    /// the same number as the next one.
    pub number: u32,
    /// The endpoint, and the inputs to its choice.
    pub placement: &'a Placement,
    /// The ending of the attempt.
    pub ending: Ending,
    /// The duration of the attempt.
    pub took: Duration,
    /// The time left until the request's deadline when the attempt began.
    pub time_left: Duration,
    /// The version of the configuration in force.
    pub config_version: Option<u64>,
    /// The model's confidence in its response, from 0 to 100.
    pub confidence: Option<u8>,
    /// Whether the response stated that the endpoint is leaving.
    pub is_leaving: Option<bool>,
    /// The limit that the endpoint was known to state when the request was sent.
    pub rate_limit: Option<RequestRate>,
    /// The reason why the request wasn't sent, if the router withheld it.
    pub withheld: Option<Withheld>,
    /// The pace of the endpoint's machine, as the response reported it.
    pub pace: Option<Pace>,
    /// How many times longer work took at the endpoint than at a usual one, if that was known
    /// when the request was sent.
    pub slowness: Option<f64>,
    /// The id after which a stream would be resumed: of the last event that was forwarded, or
    /// the one in the caller's request. `None` if the attempt was dropped.
    pub last_event: Option<u64>,
    /// The status of the endpoint's response.
    pub status: Option<u16>,
    /// Whether the connection was new or reused. `None` if none could be opened, or if the
    /// router withheld the request.
    pub connection: Option<ConnectionOrigin>,
    /// The reason why the attempt ended for lack of a connection, if it did.
    pub no_connection: Option<NoConnection>,
    /// How long the attempt waited for one of this host's connections to become free, if it did.
    pub connection_wait: Option<Duration>,
    /// The number of responses to other requests that came first and were skipped.
    pub strays: u32,
}

/// Whether an attempt's connection was new or reused. A late response to an earlier request
/// can only arrive on a reused one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, derive_more::Display)]
pub enum ConnectionOrigin {
    /// Opened for this attempt.
    #[display("opened")]
    Opened,
    /// Taken from the pool.
    #[display("kept")]
    Reused,
}

/// The reason why an attempt ended for lack of a connection to an endpoint that accepts
/// connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq, derive_more::Display)]
pub enum NoConnection {
    /// The endpoint reset or closed the new connection before the request was written.
    #[display("reset")]
    Reset,
    /// All connections of this host's share were in use, and none became free in time.
    #[display("busy")]
    Busy,
}

impl NoConnection {
    /// All variants.
    pub const ALL: [Self; 2] = [Self::Reset, Self::Busy];
}

impl Outcome {
    /// Returns the reason of a refusal or failure in metrics and the log.
    pub(crate) fn reason(self) -> Option<String> {
        match self {
            Self::Denied(it) => Some(it.to_string()),
            Self::Failed(Failure::Overloaded { shortage, .. }) => Some(shortage.to_string()),
            Self::Failed(_) | Self::Rejected => Some(self.name().to_owned()),
            Self::Answered | Self::CallerGone => None,
        }
    }

    /// Returns the name of the outcome in metrics.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::Answered => "answered",
            Self::Denied(_) => "denied",
            Self::Rejected => "rejected",
            Self::Failed(Failure::NotRun { .. } | Failure::Overloaded { .. }) => "refused",
            Self::Failed(Failure::Passed) => "passed",
            Self::Failed(Failure::Lost) => "lost",
            Self::Failed(Failure::Late) => "late",
            Self::CallerGone => "caller_gone",
        }
    }
}

/// A kind of update of the listing of endpoints that a host may not be able to apply.
#[derive(Clone, Copy, Debug, derive_more::Display, PartialEq, Eq)]
pub enum RefusedUpdate {
    /// The changes since this host's listing.
    #[display("change")]
    Change,
    /// The parts in which its listing differs.
    #[display("patch")]
    Patch,
}

impl RefusedUpdate {
    /// All variants.
    pub const ALL: [Self; 2] = [Self::Change, Self::Patch];
}
