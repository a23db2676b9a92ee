//! The state of a caller's request across its attempts.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use kernel::{ModelName, ServiceName};

use crate::config::{Customer, RetryPolicy, Route};
use crate::endpoint::Key;
use crate::rollout::Side;
use crate::{Cascade, Fingerprint, PartId, Relayed, RequestProfile, Revision, Shortage};

/// The request fails after this many attempts that ended before anything was sent. They
/// aren't included in [`Call::attempts`], but each may cost the caller a connection timeout.
const MAX_UNSENT_ATTEMPTS: u32 = 4;

/// The state of a caller's request across its attempts.
#[derive(Debug)]
pub struct Call {
    /// The route that matched.
    pub route: Arc<Route>,
    /// The customer, if the route requires a key.
    pub customer: Option<Arc<Customer>>,
    /// The service that handles the request.
    pub service: ServiceName,
    /// The properties that placement depends on.
    pub profile: RequestProfile,
    /// Identifies the same request when it is sent again under another ID.
    pub fingerprint: Fingerprint,
    /// The fingerprints of the parts of its prompt.
    pub(crate) parts: Arc<[Fingerprint]>,
    /// The time at which the request arrived.
    pub arrived: Duration,
    /// The time at which the caller's or the route's timeout expires, whichever is first.
    pub deadline: Duration,
    /// The release that the request is assigned to during a roll-out.
    pub(crate) assignment: Option<ReleaseAssignment>,
    /// Whether the caller's response is a stream that has started: see [`Self::start_stream`].
    stream_started: bool,
    pub(crate) cascade: Cascade,
    pub(crate) tried: Vec<Key>,
    /// The endpoints that refused the request, and those at whose address another endpoint
    /// responded.
    pub(crate) refused: Vec<Key>,
    pub(crate) attempts: u32,
    pub(crate) unsent: u32,
    pub(crate) may_have_run: bool,
    /// Whether an attempt ended as [`Ending::Broken`]; the endpoint's process may have exited.
    pub(crate) connection_broke: bool,
    pub(crate) capacity_check: CapacityCheck,
    pub(crate) retry: Retry,
    pub(crate) origin: Origin,
    /// The hosts through which this one has tried to forward the request.
    pub(crate) relays: Vec<SocketAddr>,
}

/// The release that a request is assigned to, relative to one roll-out order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct ReleaseAssignment {
    pub(crate) side: Side,
    /// The initial revision of the order. The new release of an earlier order is the old
    /// release of this one.
    pub(crate) revision: Revision,
}

/// Who sent a request to this host.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Origin {
    /// A caller.
    Caller,
    /// Another host, which reaches no endpoint.
    Host,
}

/// Whether a request has been admitted while capacity may be short.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum CapacityCheck {
    /// It has not been checked.
    Pending,
    /// It was admitted, and counts as one of its customer's requests.
    Passed,
}

/// The state of a request's next retry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Retry {
    /// No retry was requested.
    NotRequested,
    /// A retry was taken from the budget and not sent yet.
    Reserved,
    /// The last request for a retry was denied; the current attempt continues despite the
    /// endpoint's silence. A later request for a retry may succeed.
    Denied,
}

/// The ending of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, derive_more::Display)]
pub enum Ending {
    /// The response is complete.
    #[display("answered")]
    Answered,
    /// The endpoint responded with a server error, with a status that callers take to mean that
    /// the request has not run, or with a response that can't continue the caller's stream.
    #[display("failed")]
    Failed,
    /// No part of the request can have reached the endpoint.
    #[display("not_sent")]
    NotSent,
    /// Sending was no longer permitted after the endpoint was chosen.
    #[display("withheld")]
    Withheld,
    /// The endpoint reported that it didn't run the request.
    #[display("refused")]
    Refused,
    /// Another endpoint has the address; it didn't run the request.
    #[display("moved")]
    Misdirected,
    /// The connection broke, or the response was invalid, too long or incomplete, or successful
    /// without the endpoint's signature.
    #[display("broken")]
    Broken,
    /// The response, or the next data of a stream, wasn't received within the timeout.
    #[display("silent")]
    TimedOut,
    /// The response was discarded, to ask a larger model instead.
    #[display("unsure")]
    LowConfidence,
    /// The caller disconnected.
    #[display("cancelled")]
    Cancelled,
}

/// The next action for a request whose attempt ended. Has no meaning after [`Ending::Answered`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Next {
    /// Try another endpoint.
    Again,
    /// Fail the request.
    Fail(Failure),
}

/// The failure of a request, as it is reported to the caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failure {
    /// The request was not run; the caller may retry later.
    NotRun {
        /// The delay after which the caller should retry.
        retry_after: Duration,
    },
    /// The request was refused for lack of capacity and was not run; the caller may retry later.
    Overloaded {
        /// Why it was refused.
        shortage: Shortage,
        /// The delay after which the caller should retry.
        retry_after: Duration,
    },
    /// The request may have run, and the response is lost.
    Lost,
    /// The request may have run, and it timed out.
    Late,
    /// The endpoint responded with an error. It is forwarded if it may be; otherwise the caller
    /// gets a 502.
    Passed,
}

impl Ending {
    /// Returns whether no part of the request was sent to the endpoint.
    #[must_use]
    pub fn is_unsent(self) -> bool {
        matches!(self, Self::NotSent | Self::Withheld)
    }

    /// All variants.
    pub const ALL: [Self; 10] = [
        Self::Answered,
        Self::Failed,
        Self::NotSent,
        Self::Withheld,
        Self::Refused,
        Self::Misdirected,
        Self::Broken,
        Self::TimedOut,
        Self::LowConfidence,
        Self::Cancelled,
    ];
}

impl Call {
    /// Creates the state of an admitted request without attempts.
    #[must_use]
    pub fn new(
        route: Arc<Route>,
        customer: Option<Arc<Customer>>,
        service: ServiceName,
        profile: RequestProfile,
        fingerprint: Fingerprint,
        arrived: Duration,
        deadline: Duration,
    ) -> Self {
        Self {
            cascade: Cascade::new(route.models.len()),
            route,
            customer,
            service,
            parts: Arc::default(),
            profile,
            fingerprint,
            arrived,
            deadline,
            assignment: None,
            stream_started: false,
            tried: Vec::new(),
            refused: Vec::new(),
            attempts: 0,
            unsent: 0,
            may_have_run: false,
            connection_broke: false,
            capacity_check: CapacityCheck::Pending,
            retry: Retry::NotRequested,
            origin: Origin::Caller,
            relays: Vec::new(),
        }
    }

    /// Takes over the state of a request that another host forwards to this one.
    pub(crate) fn continue_relayed(&mut self, relayed: Relayed) {
        self.origin = Origin::Host;
        self.attempts = relayed.attempts.min(self.route.attempts);
    }

    /// Returns whether this host has tried to forward the request through another one.
    #[must_use]
    pub fn was_relayed(&self) -> bool {
        !self.relays.is_empty()
    }

    /// Returns the release that the request is assigned to during a roll-out.
    pub(crate) fn side(&self) -> Option<Side> {
        self.assignment.map(|it| it.side)
    }

    /// Assigns the request to the other release.
    pub(crate) fn switch_side(&mut self) {
        self.assignment = self.assignment.map(|it| ReleaseAssignment {
            side: it.side.other(),
            ..it
        });
    }

    /// Returns the model to use, if the route chooses it.
    #[must_use]
    pub fn model(&self) -> Option<&ModelName> {
        self.route.models.get(self.cascade.model()?)
    }

    /// Returns the request's priority; 0 is the most urgent.
    #[must_use]
    pub fn priority(&self) -> u8 {
        let customer_priority = self.customer.as_ref().and_then(|it| it.priority);
        customer_priority.unwrap_or(self.route.priority)
    }

    /// Returns the time left until the deadline.
    #[must_use]
    pub fn time_left(&self, now: Duration) -> Duration {
        self.deadline.saturating_sub(now)
    }

    /// Returns whether the last request for a retry was denied, so that the current attempt
    /// continues despite the endpoint's silence.
    #[must_use]
    pub fn is_retry_denied(&self) -> bool {
        self.retry == Retry::Denied
    }

    /// Records that a retry was denied.
    pub fn deny_retry(&mut self) {
        self.retry = Retry::Denied;
    }

    /// Clears a denied retry, after the endpoint has sent data or the attempt has ended.
    pub fn clear_denied_retry(&mut self) {
        if self.retry == Retry::Denied {
            self.retry = Retry::NotRequested;
        }
    }

    /// Records that the response to the caller has started as a stream. No other response
    /// can be sent from now on, and another endpoint can only continue the stream.
    ///
    /// Must be called before the first byte is written. If the endpoint then breaks off, the
    /// error response of the next attempt must not be written into the started stream, which
    /// would corrupt the chunked encoding (docs/design/relay.md).
    pub fn start_stream(&mut self) {
        self.stream_started = true;
    }

    /// Returns whether the response to the caller is a stream that has started.
    #[must_use]
    pub fn has_started(&self) -> bool {
        self.stream_started
    }

    /// Returns the number of attempts, without those that ended before anything was sent.
    #[must_use]
    pub fn attempts(&self) -> u32 {
        self.attempts
    }

    /// Returns whether a larger model may be asked. Not once the caller has received part
    /// of the response, nor if the request may run at most once: the smaller model has run it.
    pub(crate) fn may_escalate(&self) -> bool {
        self.route.retry_policy == RetryPolicy::Idempotent
            && !self.stream_started
            && self.attempts < self.route.attempts
            && self.cascade.has_larger()
    }

    /// Returns whether the request may be sent again, without regard to the retry budget.
    pub(crate) fn may_retry(&self, now: Duration, ending: Ending) -> bool {
        let is_safe = match ending {
            Ending::NotSent | Ending::Withheld => {
                return self.unsent < MAX_UNSENT_ATTEMPTS && self.time_left(now) > Duration::ZERO;
            }
            Ending::Refused | Ending::Misdirected => true,
            Ending::Failed | Ending::Broken | Ending::TimedOut | Ending::LowConfidence => {
                self.route.retry_policy == RetryPolicy::Idempotent
            }
            Ending::Answered | Ending::Cancelled => false,
        };
        is_safe && self.attempts < self.route.attempts && self.time_left(now) > Duration::ZERO
    }

    pub(crate) fn record_ending(&mut self, ending: Ending) {
        self.clear_denied_retry();
        match ending {
            Ending::NotSent | Ending::Withheld => self.unsent += 1,
            Ending::Refused | Ending::Misdirected => {}
            Ending::LowConfidence => {
                self.may_have_run = true;
                self.cascade.escalate();
            }
            Ending::Broken => {
                self.may_have_run = true;
                self.connection_broke = true;
            }
            _ => self.may_have_run = true,
        }
    }

    /// Returns how the request fails if `ending` ended its last attempt.
    pub(crate) fn failure(&self, now: Duration, ending: Ending) -> Failure {
        if ending == Ending::Failed && !self.stream_started {
            return Failure::Passed;
        }
        if !self.may_have_run {
            return Failure::NotRun {
                retry_after: self.retry_after(),
            };
        }
        if ending == Ending::TimedOut || self.time_left(now).is_zero() {
            Failure::Late
        } else {
            Failure::Lost
        }
    }

    /// Returns how long a refused caller should wait before it retries: a fraction of the
    /// route's target latency.
    pub(crate) fn retry_after(&self) -> Duration {
        const RETRY_AFTER_DIVISOR: u32 = 8;
        self.route.target_latency / RETRY_AFTER_DIVISOR
    }
}

/// Returns the fingerprints of the parts of a prompt.
pub(crate) fn part_fingerprints(parts: &[PartId]) -> Arc<[Fingerprint]> {
    let parts = parts.iter().enumerate();
    parts
        .map(|(index, it)| Fingerprint::of_part(*it, index))
        .collect()
}
