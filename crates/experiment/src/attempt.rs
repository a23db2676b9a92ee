use std::time::Duration;

use crate::{
    truth::{Answer, VersionIdx},
    workload::Priority,
};

/// Identifies an attempt among those of all entry hosts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct AttemptKey {
    pub(crate) host: usize,
    /// The incarnation of the host's process. Numbers start anew in each process, so without it
    /// the late end of a previous process's attempt could be taken for one of its successor's.
    pub(crate) life: u64,
    pub(crate) number: u64,
}

/// The simulated state of an attempt.
#[derive(Clone, Debug)]
pub(crate) struct Attempt {
    pub(crate) request: usize,
    pub(crate) endpoint: usize,
    /// `None` at a plain service.
    pub(crate) version: Option<VersionIdx>,
    pub(crate) priority: Priority,
    pub(crate) relay: Relay,
    pub(crate) state: State,
    /// Whether the response is sent to the rating service once it is complete.
    pub(crate) sample: bool,
}

/// The time at which the caller sees an attempt's response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Relay {
    /// The response is streamed to the caller.
    Now,
    /// The response is sent once it is complete and selected.
    AfterCheck,
}

/// The progress of an attempt. Attempts at plain services have no [`Answer`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum State {
    Waiting,
    Running {
        since: Duration,
        first: Duration,
        answer: Option<Answer>,
    },
    /// The response is complete and kept until it is delivered.
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
