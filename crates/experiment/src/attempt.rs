use std::time::Duration;

use crate::{
    ground_truth::{Response, VersionIdx},
    workload::Priority,
};

/// Identifies an attempt among those of all entry hosts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct AttemptKey {
    pub(crate) host: usize,
    /// The incarnation of the host's process. Numbers start anew in each process, so without it
    /// the late end of a previous process's attempt could be taken for one of its successor's.
    /// Always zero under the baselines, whose numbers don't restart.
    pub(crate) incarnation: u64,
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
    pub(crate) sample_on_completion: bool,
}

/// The time at which the caller sees an attempt's response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Relay {
    /// The response is streamed to the caller.
    Now,
    /// The response is sent once it is complete and selected.
    AfterCheck,
}

/// The progress of an attempt. Attempts at plain services have no [`Response`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum State {
    /// Not running: on the way to the endpoint, in its queue, refused or aborted.
    Waiting,
    Running {
        started: Duration,
        first_token: Duration,
        response: Option<Response>,
    },
    /// The endpoint has finished. A complete response is kept until the request ends.
    Done { response: Option<Response> },
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
            sample_on_completion: false,
        }
    }
}
