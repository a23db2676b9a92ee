//! The routers under comparison: the decision core and the baselines, behind one interface.

mod baseline;
mod core;
mod load_view;
mod oracle;

use std::{sync::Arc, time::Duration};

use decide::action::Verdict;
use derive_more::Display;
use kernel::Revision;
use serde::Serialize;

pub(crate) use self::{
    baseline::Baseline,
    core::{Core, GossipUpdate},
    load_view::pick_index,
};

use crate::{
    arrival::Arrival,
    attempt::{AttemptKey, Relay},
    configuration::Configuration,
    endpoint::Load,
    ground_truth::VersionIdx,
    workload::{ClassIdx, Priority},
};

/// The kinds of routers.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum RouterKind {
    /// The decision core, with one decider for each host.
    #[display("core")]
    Core,
    /// Follows the plan of least cost that meets the class's quality target, computed from the true
    /// distributions. Pinned sessions stay with their version.
    #[display("oracle")]
    Oracle,
    /// Sends each request without a pin to the strongest of the initially active versions that
    /// still accept requests.
    #[display("strongest")]
    Strongest,
    /// Starts at the cheapest of the initially active versions that still accept requests, and
    /// goes on to the next if the confidence is below a fixed threshold. Requests that aren't
    /// idempotent go to the strongest; pinned sessions stay with their version.
    #[display("static-cascade")]
    StaticCascade,
    /// Sends each request without a pin to a random one of the initially active versions that
    /// still accept requests.
    #[display("random")]
    Random,
}

impl RouterKind {
    pub(crate) const ALL: [Self; 5] = [
        Self::Core,
        Self::Oracle,
        Self::Strongest,
        Self::StaticCascade,
        Self::Random,
    ];
}

/// An input of a router at an entry host.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Input<'a> {
    /// A request arrived. `pin` is the version of the session's last response.
    Arrive {
        arrival: &'a Arrival,
        pin: Option<VersionIdx>,
    },
    /// The first token of a response was received.
    Started {
        attempt: AttemptKey,
    },
    Ended {
        attempt: AttemptKey,
        outcome: AttemptOutcome,
    },
    /// The caller stopped waiting.
    Cancelled {
        request: usize,
    },
    Load {
        endpoint: usize,
        load: Load,
        age: Duration,
    },
    /// An endpoint, with this incarnation, went up or down.
    Endpoint {
        endpoint: usize,
        incarnation: u64,
        up: bool,
    },
    /// The rating service rated a response.
    Rated {
        request: usize,
        version: VersionIdx,
        class: ClassIdx,
        good: bool,
    },
    /// Another host's gossip update.
    Gossip(&'a GossipUpdate),
    /// A new configuration came into force.
    Configured(&'a Configuration),
    /// The number of live hosts changed.
    Hosts {
        live: usize,
    },
    Tick,
}

/// The outcome of an attempt.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum AttemptOutcome {
    /// A model returned a complete response.
    Answered {
        /// The confidence that the engine reported.
        confidence: f64,
        prompt: u32,
        completion: u32,
    },
    /// A plain service returned a complete response.
    Served,
    /// The endpoint refused the request without running it.
    Refused,
    /// The connection failed; the request didn't run.
    Unreachable,
    /// The engine failed, or the endpoint went down before the first token was received. The
    /// request may have run.
    Failed,
    /// The endpoint went down after the first token was received, or while a call of a plain
    /// service had been running for at least the network latency.
    Cut,
    /// The attempt exceeded the router's timeout.
    TimedOut,
}

/// An action that a router requests.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum Output {
    Dispatch {
        attempt: AttemptKey,
        request: usize,
        endpoint: usize,
        version: Option<VersionIdx>,
        priority: Priority,
        relay: Relay,
        timeout: Option<Duration>,
    },
    Deliver {
        request: usize,
        attempt: AttemptKey,
    },
    Refuse {
        request: usize,
        reason: &'static str,
    },
    Cancel {
        attempt: AttemptKey,
    },
    /// Sends a response to the rating service.
    Sample {
        attempt: AttemptKey,
    },
    /// The verdict on a version changed.
    Verdict {
        version: VersionIdx,
        verdict: Verdict,
    },
    /// Sends a gossip update to the other hosts.
    Broadcast(Arc<GossipUpdate>),
    /// Requests that the configuration give a version this share of the requests. Applied only if
    /// the configuration still has this revision and the version is being rolled out.
    RolloutStep {
        version: VersionIdx,
        to: f64,
        revision: Revision,
    },
}

/// A router, with its state at all entry hosts.
pub(crate) enum Router<'a> {
    Core(Box<Core>),
    Baseline(Box<Baseline<'a>>),
}

impl Router<'_> {
    /// Handles an input at `host` and appends the resulting actions.
    pub(crate) fn handle(
        &mut self,
        now: Duration,
        host: usize,
        input: &Input<'_>,
        outputs: &mut Vec<Output>,
    ) {
        match self {
            Self::Core(it) => it.handle(now, host, input, outputs),
            Self::Baseline(it) => it.handle(now, host, input, outputs),
        }
    }

    /// Replaces a host's router by a new one. Under the core it gets the digest of another host.
    pub(crate) fn replace(&mut self, now: Duration, host: usize) {
        match self {
            Self::Core(it) => it.replace(now, host),
            Self::Baseline(it) => it.replace(host),
        }
    }

    /// Returns the interval of the router's timer; `None` if it needs none.
    pub(crate) fn tick(&self) -> Option<Duration> {
        match self {
            Self::Core(_) => Some(Core::tick()),
            Self::Baseline(_) => None,
        }
    }
}
