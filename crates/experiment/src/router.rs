//! What is compared: the decision core and the baselines, behind one set of messages.

mod baseline;
mod core;
mod oracle;
mod view;

use std::{sync::Arc, time::Duration};

use decide::action::Verdict;
use derive_more::Display;
use kernel::Revision;
use serde::Serialize;

pub(crate) use self::{
    baseline::Baseline,
    core::{Core, News},
    view::place,
};

use crate::{
    arrival::Arrival,
    attempt::{AttemptKey, Relay},
    configuration::Configuration,
    endpoint::Load,
    truth::VersionIdx,
    workload::{ClassIdx, Priority},
};

/// Who decides.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Kind {
    /// The decision core, one decider a host.
    #[display("core")]
    Core,
    /// The plan of least cost of who knows each distribution.
    #[display("oracle")]
    Oracle,
    /// The strongest allowed version for everything.
    #[display("strongest")]
    Strongest,
    /// Cheapest first, the next where the confidence is below a fixed threshold.
    #[display("static-cascade")]
    StaticCascade,
    /// Any allowed version.
    #[display("random")]
    Random,
}

impl Kind {
    pub(crate) const ALL: [Self; 5] = [
        Self::Core,
        Self::Oracle,
        Self::Strongest,
        Self::StaticCascade,
        Self::Random,
    ];
}

/// What a router is told at an entry host.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Input<'a> {
    /// A caller asks; `pin` is the version of the session's last answer.
    Arrive {
        arrival: &'a Arrival,
        pin: Option<VersionIdx>,
    },
    /// The first token came.
    Started {
        attempt: AttemptKey,
    },
    Ended {
        attempt: AttemptKey,
        end: End,
    },
    /// The caller gave up.
    Cancelled {
        request: usize,
    },
    Load {
        endpoint: usize,
        load: Load,
        age: Duration,
    },
    /// An endpoint left or came, with this incarnation.
    Endpoint {
        endpoint: usize,
        incarnation: u64,
        up: bool,
    },
    /// The rating service's word on an answer.
    Rated {
        request: usize,
        version: VersionIdx,
        class: ClassIdx,
        good: bool,
    },
    /// Another host's news.
    News(&'a News),
    /// Operators' changes came into force.
    Configured(&'a Configuration),
    /// The number of live hosts changed.
    Hosts {
        live: usize,
    },
    Tick,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum End {
    /// A whole answer of a model.
    Answered {
        /// As the engine reports it.
        confidence: f64,
        prompt: u32,
        completion: u32,
    },
    /// A whole answer of a plain service.
    Served,
    /// The endpoint refused; nothing ran.
    Refused,
    /// There was no connection; nothing ran.
    Unreachable,
    /// The engine failed; something may have run.
    Failed,
    /// The endpoint went away; something may have run.
    Cut,
    /// It took longer than the router allowed.
    TimedOut,
}

/// What a router wants done.
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
    /// Asks the rating service about an answer.
    Sample {
        attempt: AttemptKey,
    },
    /// The verdict on a version changed.
    Verdict {
        version: VersionIdx,
        verdict: Verdict,
    },
    /// Tells the other hosts.
    Broadcast(Arc<News>),
    /// Asks the operators' table to give a version this share of the work.
    Step {
        version: VersionIdx,
        to: f64,
        revision: Revision,
    },
}

/// Decides at every entry host.
pub(crate) enum Router<'a> {
    Core(Box<Core>),
    Baseline(Box<Baseline<'a>>),
}

impl Router<'_> {
    /// Takes an input at `host` and appends what to do.
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

    /// Loses all that a host knew.
    pub(crate) fn replace(&mut self, now: Duration, host: usize) {
        match self {
            Self::Core(it) => it.replace(now, host),
            Self::Baseline(it) => it.replace(host),
        }
    }

    /// How often the router wants to be told that time passed.
    pub(crate) fn tick(&self) -> Option<Duration> {
        match self {
            Self::Core(_) => Some(Core::tick()),
            Self::Baseline(_) => None,
        }
    }
}
