use std::time::Duration;

use crate::{
    truth::{Answer, VersionIdx},
    workload::Priority,
};

/// An attempt, as the entry host that made it numbers it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct AttemptKey {
    pub(crate) host: usize,
    /// Which process it was at this host, so that a late end of a lost one's attempt
    /// isn't taken for one of its successor's.
    pub(crate) life: u64,
    pub(crate) number: u64,
}

/// What the fakes know of an attempt under way.
#[derive(Clone, Debug)]
pub(crate) struct Attempt {
    pub(crate) request: usize,
    pub(crate) endpoint: usize,
    /// None at a plain service.
    pub(crate) version: Option<VersionIdx>,
    pub(crate) priority: Priority,
    pub(crate) relay: Relay,
    pub(crate) state: State,
    /// The answer goes to the rating service once it is whole.
    pub(crate) sample: bool,
}

/// When the caller sees an attempt's answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Relay {
    /// As it comes.
    Now,
    /// Once it is whole and chosen.
    AfterCheck,
}

/// How far an attempt is; plain services give no [`Answer`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum State {
    Waiting,
    Running {
        since: Duration,
        first: Duration,
        answer: Option<Answer>,
    },
    /// It ended whole; kept so that it can be delivered.
    Done {
        answer: Option<Answer>,
    },
}

impl Attempt {
    pub(crate) fn new(
        request: usize,
        endpoint: usize,
        version: Option<VersionIdx>,
        priority: Priority,
        relay: Relay,
    ) -> Self {
        Self {
            request,
            endpoint,
            version,
            priority,
            relay,
            state: State::Waiting,
            sample: false,
        }
    }
}
