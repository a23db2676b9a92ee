//! Exchanges with callers.

use std::time::Duration;

use route::{Call, InFlight};

use crate::prompt::{Prompt, Task};
use crate::request::Request;

/// The exchange with one caller.
#[derive(Debug)]
pub(crate) struct Exchange {
    pub(crate) request: Request,
    pub(crate) call: Option<Call>,
    pub(crate) attempt: Option<Attempt>,
    /// The number of attempts sent.
    pub(crate) sent: u32,
    /// The time that its attempts waited at endpoints for other requests.
    pub(crate) waited: Duration,
    /// The time from the arrival to the first event.
    pub(crate) latency: Option<Duration>,
}

/// The attempt that a host has in flight.
#[derive(Debug)]
pub(crate) struct Attempt {
    pub(crate) in_flight: InFlight,
    pub(crate) endpoint: usize,
    pub(crate) number: u32,
    pub(crate) sent_at: Duration,
    pub(crate) has_started: bool,
}

impl Exchange {
    pub(crate) fn new(request: Request) -> Self {
        Self {
            request,
            call: None,
            attempt: None,
            sent: 0,
            waited: Duration::ZERO,
            latency: None,
        }
    }

    /// Returns whether the task is its current attempt and without a response so far.
    pub(crate) fn awaits(&self, task: Task) -> bool {
        let attempt = self.attempt.as_ref();
        attempt.is_some_and(|it| it.number == task.attempt && !it.has_started)
    }

    pub(crate) fn is_late(&self) -> bool {
        let target = self.request.kind.target();
        self.latency.is_none_or(|it| it > target)
    }

    /// Returns the request as an endpoint receives it.
    pub(crate) fn prompt(&self, task: Task, model: usize, priority: u8, at: Duration) -> Prompt {
        Prompt {
            task,
            priority,
            model,
            tokens: self.request.tokens,
            prefix: self.request.prefix,
            events: self.request.kind.events(),
            arrived: at,
            waited: Duration::ZERO,
            is_cancelled: false,
        }
    }
}
