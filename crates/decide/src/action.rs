//! Actions that the decider requests from the driver.

use std::sync::Arc;
use std::time::Duration;

use kernel::{AttemptId, Money, Revision};
use serde::{Deserialize, Serialize};

use crate::{Demand, Evidence, Refusal, endpoint, key};

/// An action for the driver. Actions are carried out in the order in which they are emitted.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Sends a request to an endpoint.
    Dispatch(Dispatch),
    /// Completes a request with the response of an attempt: forwards the response, or ends it if it
    /// has already been relayed. The attempt needn't be the last one, so the driver keeps all
    /// responses of a request until this action.
    Deliver(Deliver),
    /// Completes a request with a refusal. If part of a response has been relayed, the stream ends
    /// with an error.
    Refuse {
        /// The request.
        request: key::Request,
        /// The reason and related details.
        refusal: Refusal,
    },
    /// Aborts an attempt. The driver needn't report its end.
    Cancel {
        /// The attempt.
        attempt: AttemptId,
    },
    /// Sends evidence to the other hosts.
    Publish(Evidence),
    /// Sends this host's demand to the other hosts.
    Demand(Demand),
    /// Sends a response to the rating service. Emitted when the response is complete, before the
    /// request's `Deliver` or the dispatch of its next step, while the driver still has the
    /// response.
    Sample {
        /// The request.
        request: key::Request,
        /// The attempt that returned the response.
        attempt: AttemptId,
        /// The version that produced the response.
        version: key::Version,
        /// The request class.
        class: key::Class,
    },
    /// Reports that the verdict on a version changed, for logs, status and the other hosts.
    Version {
        /// The version.
        version: key::Version,
        /// The verdict.
        verdict: Verdict,
    },
    /// Reports that a quarantined version stays in use because the customer has no healthy version
    /// with an endpoint. Emitted once per version, profile and customer until the verdict on the
    /// version or the policy changes.
    LastResort {
        /// The version.
        version: key::Version,
        /// The profile for which the customer has no healthy version with an endpoint.
        profile: key::Profile,
        /// The customer.
        customer: key::Customer,
    },
    /// Requests a change of a roll-out's share. Repeated every few seconds until a policy with the
    /// new share arrives. The host that holds the roll-out's lease writes the change; all others
    /// ignore it.
    Step(Step),
}

/// An attempt to be sent.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Dispatch {
    /// The request.
    pub request: key::Request,
    /// The attempt's id, unique for the lifetime of this decider.
    pub attempt: AttemptId,
    /// The endpoint to send to.
    pub endpoint: endpoint::Id,
    /// The version; `None` for a plain service.
    pub version: Option<key::Version>,
    /// Whether the response may be relayed while it is received.
    pub relay: Relay,
    /// The time limit of the attempt, after which it ends as `TimedOut`.
    pub timeout: Duration,
    /// The revision of the policy that was in force.
    pub revision: Revision,
    /// Whether the session keeps its version.
    pub session: Session,
    /// The ordinal number of this attempt of the request, counted from 1.
    pub number: u32,
    /// The priority to pass to the endpoint.
    pub priority: crate::policy::Priority,
}

/// The completion of a request with a response.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Deliver {
    /// The request.
    pub request: key::Request,
    /// The attempt whose response the caller gets.
    pub attempt: AttemptId,
    /// The version that produced the response; `None` for a plain service.
    pub version: Option<key::Version>,
    /// The total cost of the complete responses to the request.
    pub cost: Money,
    /// The number of attempts.
    pub attempts: u32,
}

/// Whether a response may be relayed while it is received.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Relay {
    /// It may. It can't be replaced once its first byte has been relayed.
    Now,
    /// It is buffered until it is complete, since it may be rejected for low confidence.
    AfterCheck,
}

/// Whether a session keeps its version.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Session {
    /// The request isn't pinned; the version that responds becomes the session's version.
    Free,
    /// The session keeps its version.
    Kept,
    /// The session is moved to the version of this dispatch, since its own may no longer be used.
    Moved,
}

/// The verdict on a version.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Verdict {
    /// The version is in normal use.
    Healthy,
    /// The version gets probes, and requests of sessions pinned to it if
    /// [`PinnedSessions::Keep`](crate::PinnedSessions::Keep) is set; other requests only as a last
    /// resort.
    Quarantined(Cause),
}

/// Why a version is quarantined.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Cause {
    /// Its error rate is well above the baseline, which is derived from the other versions.
    Errors,
    /// Its quality is below its baseline; the last evidence was a rating.
    Ratings,
    /// Its quality is below its baseline; the last evidence was the confidence of a response.
    Confidence,
    /// Its latency is far above its baseline.
    Latency,
}

/// A change of a roll-out's share.
#[derive(Clone, Debug, PartialEq)]
pub struct Step {
    /// The roll-out.
    pub rollout: Arc<str>,
    /// The version being rolled out.
    pub version: key::Version,
    /// The present share.
    pub from: f64,
    /// The new share: 1 completes the roll-out, 0 reverts it.
    pub to: f64,
    /// The revision of the policy that was in force. The change is void if a newer one exists.
    pub revision: Revision,
}
