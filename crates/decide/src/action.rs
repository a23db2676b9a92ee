//! What the decider asks of the driver.

use std::sync::Arc;
use std::time::Duration;

use kernel::{AttemptId, Money, Revision};
use serde::{Deserialize, Serialize};

use crate::{Demand, Evidence, Refusal, endpoint, key};

/// What the decider asks of the driver, to be carried out in order.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send the request to an endpoint.
    Dispatch(Dispatch),
    /// The request is done: pass on the answer of `attempt`, or end it where it
    /// has been relayed already. It may be an earlier attempt than the last, so
    /// answers are kept until here.
    Deliver(Deliver),
    /// The request is done: refuse it. Where part of an answer has been relayed
    /// the stream ends with an error.
    Refuse {
        /// The request.
        request: key::Request,
        /// Why.
        refusal: Refusal,
    },
    /// Stop an attempt; its end need not be told.
    Cancel {
        /// The attempt.
        attempt: AttemptId,
    },
    /// Tell the other hosts.
    Publish(Evidence),
    /// Tell the other hosts.
    Demand(Demand),
    /// Send an answer to the rating service. Comes before the request's `Deliver`
    /// or the dispatch of its next step, while the driver has the answer; an
    /// answer being relayed is sent once it is whole.
    Sample {
        /// The request.
        request: key::Request,
        /// The attempt with the answer.
        attempt: AttemptId,
        /// The version that answered.
        version: key::Version,
        /// The request class.
        class: key::Class,
    },
    /// The verdict on a version changed; for logs, status and the other hosts.
    Version {
        /// The version.
        version: key::Version,
        /// The verdict.
        verdict: Verdict,
    },
    /// A quarantined version stays in use as the least bad one, since some
    /// customer would be left with none. Said once a quarantine.
    LastResort {
        /// The version.
        version: key::Version,
        /// The profile whose customer has no other.
        profile: key::Profile,
        /// The customer.
        customer: key::Customer,
    },
    /// A roll-out is to take a step. Repeated every few seconds until a policy
    /// with the new share comes; the host that holds the roll-out's lease
    /// writes it, all others ignore it.
    Step(Step),
}

/// An attempt to be sent.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Dispatch {
    /// The request.
    pub request: key::Request,
    /// The attempt, unique in the life of this decider.
    pub attempt: AttemptId,
    /// Where to.
    pub endpoint: endpoint::Id,
    /// The version, none for a plain service.
    pub version: Option<key::Version>,
    /// Whether the answer may be relayed while it comes.
    pub relay: Relay,
    /// How long the attempt may take; an end after that is `TimedOut`.
    pub timeout: Duration,
    /// The revision under which this was decided.
    pub revision: Revision,
    /// What became of the session's version.
    pub session: Session,
    /// Which attempt of the request this is, counted from 1.
    pub number: u32,
    /// The priority to pass to the endpoint.
    pub priority: crate::policy::Priority,
}

/// The end of a request with an answer.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Deliver {
    /// The request.
    pub request: key::Request,
    /// The attempt whose answer it gets.
    pub attempt: AttemptId,
    /// The version that answered, none for a plain service.
    pub version: Option<key::Version>,
    /// What all its attempts cost together.
    pub cost: Money,
    /// How many attempts it took.
    pub attempts: u32,
}

/// Whether an answer may be relayed while it comes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Relay {
    /// Yes; nothing can replace it once its first byte has been relayed.
    Now,
    /// No: it may still be rejected.
    AfterCheck,
}

/// What became of a session's version.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Session {
    /// The request named none; the version that answers is its version from now on.
    Free,
    /// It is kept.
    Kept,
    /// It was withdrawn or is no longer allowed: moved to this dispatch's version.
    Moved,
}

/// The verdict on a version.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Verdict {
    /// In use.
    Healthy,
    /// Out of use but for probes, for this reason.
    Quarantined(Cause),
}

/// Why a version is quarantined.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Cause {
    /// It fails more than it used to and more than others do.
    Errors,
    /// Its answers are rated bad more than they used to be.
    Ratings,
    /// The engines are less sure of its answers than they used to be.
    Confidence,
    /// It is far slower than it used to be.
    Latency,
}

/// A step of a roll-out.
#[derive(Clone, Debug, PartialEq)]
pub struct Step {
    /// The roll-out.
    pub rollout: Arc<str>,
    /// The version that is rolled out.
    pub version: key::Version,
    /// The share that it has.
    pub from: f64,
    /// The share that it should have: 1 ends the roll-out, 0 takes it back.
    pub to: f64,
    /// The revision that this was decided on; a write on a newer one is void.
    pub revision: Revision,
}
