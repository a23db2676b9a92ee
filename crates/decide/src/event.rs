//! What the driver tells the decider.

use std::sync::Arc;

use kernel::{AttemptId, VersionId};

use crate::action::Verdict;
use crate::{Arrival, Demand, Evidence, Outcome, Policy, endpoint, key};

/// What the driver tells the decider.
#[derive(Clone, Debug)]
pub enum Event {
    /// A policy came into force. Keys in later arrivals are this policy's.
    Configure(Arc<Policy>),
    /// An endpoint appeared, reported its load, changed or went.
    Endpoint(endpoint::Update),
    /// A request came in. It gets exactly one `Deliver` or `Refuse`, unless
    /// [`Self::Cancelled`] comes before.
    Arrive(Arrival),
    /// The first byte of an attempt's answer came. The driver passes this in
    /// before it relays the byte and relays nothing of an attempt that the
    /// actions cancel.
    Started {
        /// The attempt.
        attempt: AttemptId,
    },
    /// An attempt ended. Each dispatched attempt ends once, unless it was
    /// cancelled; a later end of a cancelled one is ignored.
    Ended {
        /// The attempt.
        attempt: AttemptId,
        /// How.
        outcome: Outcome,
    },
    /// The caller went away. Its attempts get `Cancel`; no `Deliver` or `Refuse` follows.
    Cancelled {
        /// The request.
        request: key::Request,
    },
    /// The rating service rated an answer, at any later time.
    Rated(Rating),
    /// Another host's evidence.
    Evidence(Evidence),
    /// Another host's verdict on a version. It only counts where this host has
    /// seen too little to judge by itself, as after its start.
    Verdict {
        /// The version.
        version: VersionId,
        /// The verdict.
        verdict: Verdict,
    },
    /// What another host has learned, see [`Decider::digest`](crate::Decider::digest).
    /// Asked for once, by a host that starts; ignored by one that has learned
    /// enough itself.
    Digest(Evidence),
    /// How many entry hosts are live, this one included.
    Hosts {
        /// Their number.
        live: u32,
    },
    /// Another host's demand.
    Demand(Demand),
    /// Time passed. Comes every [`Tuning::tick`](crate::Tuning::tick).
    Tick,
}

/// A rating of one answer.
#[derive(Clone, Debug, PartialEq)]
pub struct Rating {
    /// The request of the `Sample` action.
    pub request: key::Request,
    /// The version that answered.
    pub version: VersionId,
    /// The request class.
    pub class: key::Class,
    /// What the rating service says.
    pub verdict: Quality,
}

/// What the rating service says of an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Quality {
    /// Good enough.
    Good,
    /// Not good enough.
    Bad,
}
