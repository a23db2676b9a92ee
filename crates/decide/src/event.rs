//! Events that the driver reports to the decider.

use std::sync::Arc;

use kernel::{AttemptId, VersionId};

use crate::action::Verdict;
use crate::{Arrival, Demand, Evidence, Outcome, Policy, endpoint, key};

/// An event that the driver reports to the decider.
#[derive(Clone, Debug)]
pub enum Event {
    /// A policy was received. It is ignored if its revision is lower than that of the policy in
    /// force. Keys in later arrivals refer to the policy in force.
    Configure(Arc<Policy>),
    /// An endpoint was added, changed, removed, or reported its load.
    Endpoint(endpoint::Update),
    /// A request arrived. It gets exactly one `Deliver` or `Refuse`, unless [`Self::Cancelled`]
    /// comes first.
    Arrive(Arrival),
    /// The first byte of an attempt's response was received. The driver reports this before it
    /// relays the byte, and relays nothing from an attempt that the resulting actions cancel.
    Started {
        /// The attempt.
        attempt: AttemptId,
    },
    /// An attempt ended. Reported once for each dispatched attempt that wasn't cancelled; the end
    /// of a cancelled attempt is ignored.
    Ended {
        /// The attempt.
        attempt: AttemptId,
        /// The outcome.
        outcome: Outcome,
    },
    /// The caller disconnected. The request's attempts get `Cancel`; no `Deliver` or `Refuse`
    /// follows.
    Cancelled {
        /// The request.
        request: key::Request,
    },
    /// The rating service rated a response. May arrive at any time after the `Sample` action.
    Rated(Rating),
    /// Evidence from another host.
    Evidence(Evidence),
    /// Another host's verdict on a version. Applied only while this host knows too few outcomes,
    /// its own and those that other hosts published, to judge the version itself, for example after
    /// it started.
    Verdict {
        /// The version.
        version: VersionId,
        /// The verdict.
        verdict: Verdict,
    },
    /// A summary of what another host has learned, see [`Decider::digest`](crate::Decider::digest).
    /// Requested once, by a starting host. Its statistics are ignored by a host that has already
    /// recorded enough.
    Digest(Evidence),
    /// The number of live entry hosts changed.
    Hosts {
        /// The number of live entry hosts, including this one.
        live: u32,
    },
    /// The demand at another host.
    Demand(Demand),
    /// Periodic timer, fired every [`Tuning::tick`](crate::Tuning::tick).
    Tick,
}

/// A rating of one response.
#[derive(Clone, Debug, PartialEq)]
pub struct Rating {
    /// The request of the `Sample` action.
    pub request: key::Request,
    /// The version that produced the response.
    pub version: VersionId,
    /// The request class.
    pub class: key::Class,
    /// The result of the rating.
    pub quality: Quality,
}

/// The quality of a response as rated by the rating service.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Quality {
    /// The response is good enough.
    Good,
    /// The response isn't good enough.
    Bad,
}
