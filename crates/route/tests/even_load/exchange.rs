//! Exchanges with callers.

use std::time::Duration;

use route::{Call, InFlight};

use crate::prompt::{Prompt, Task};
use crate::request::Request;

/// As `response_start_fraction` in `crates/forward/src/timeouts.rs`.
pub(crate) const RESPONSE_START_FRACTION: f64 = 0.6;

/// The exchange with one caller.
#[derive(Debug)]
pub(crate) struct Exchange {
    pub(crate) request: Request,
    pub(crate) call: Option<Call>,
    pub(crate) attempt: Option<Attempt>,
    /// The number of attempts sent.
    pub(crate) sent: u32,
    /// The number of attempts abandoned at silent endpoints.
    pub(crate) abandoned: u32,
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
            abandoned: 0,
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
        self.latency
            .is_none_or(|it| it > self.request.demand.target)
    }

    /// Returns whether its attempts waited for others beyond its target.
    pub(crate) fn is_blocked(&self) -> bool {
        self.waited > self.request.demand.target
    }

    /// Returns whether its attempts waited for others so long that a host abandons a silent one.
    pub(crate) fn is_delayed(&self) -> bool {
        self.waited > self.request.demand.target.mul_f64(RESPONSE_START_FRACTION)
    }

    /// Returns the request as an endpoint receives it.
    pub(crate) fn prompt(&self, task: Task, model: usize, at: Duration) -> Prompt {
        Prompt {
            task,
            priority: self.request.demand.kind.priority(),
            model,
            tokens: self.request.tokens,
            prefix: self.request.prefix,
            events: self.request.demand.events,
            arrived: at,
            waited: Duration::ZERO,
            is_cancelled: false,
        }
    }
}
