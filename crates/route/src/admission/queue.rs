//! The queue of an endpoint, as far as this host knows.

use std::time::Duration;

use super::progress::Progress;
use crate::directory::{Endpoint, LOAD_REPORT_TTL};

/// What a host knows about an endpoint's queue, from a fresh report or its own requests there.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Queue {
    /// The number of requests that wait for a slot.
    waiting: f64,
    /// Whether a new request would have to wait.
    is_full: bool,
    slots: f64,
    /// The age of the report. Requests that wait may have started since.
    age: Duration,
}

impl Queue {
    /// Returns the queue of an endpoint, or `None` if there is no evidence.
    pub(crate) fn of(now: Duration, it: &Endpoint) -> Option<Self> {
        Self::reported(now, it).or_else(|| Self::own(it))
    }

    fn reported(now: Duration, it: &Endpoint) -> Option<Self> {
        let (at, load) = it.load?;
        let age = now.saturating_sub(at);
        if age >= LOAD_REPORT_TTL {
            return None;
        }
        let slots = f64::from(load.slots.max(it.entry.slots).max(1));
        // Requests that ended without a report are no longer there.
        let sent = f64::from(it.sent_since_load.min(it.in_flight));
        let requests = (load.requests() + sent).max(f64::from(it.in_flight));
        // An endpoint whose memory is full queues requests although slots are free.
        let queued = if load.waiting > 0 {
            f64::from(load.waiting) + sent
        } else {
            0.0
        };
        Some(Self {
            waiting: queued.max(requests - slots),
            is_full: load.waiting > 0 || requests >= slots,
            slots,
            age,
        })
    }

    /// Returns the queue that this host's own requests cause, if they exceed the slots.
    fn own(it: &Endpoint) -> Option<Self> {
        let slots = f64::from(it.entry.slots.max(1));
        let waiting = f64::from(it.in_flight) - slots;
        (waiting > 0.0).then_some(Self {
            waiting,
            is_full: true,
            slots,
            age: Duration::ZERO,
        })
    }

    /// Returns whether requests are waiting.
    pub(super) fn has_waiting(&self) -> bool {
        self.waiting > 0.0
    }

    /// Returns the expected time until a new request starts.
    pub(super) fn wait(&self, progress: Progress) -> Duration {
        /// Reports may contain any number.
        const MAX_WAIT: f64 = 3_600.0;
        if !self.is_full {
            return Duration::ZERO;
        }
        let departures = self.waiting.max(0.0) * progress.fraction_ahead + 1.0;
        let wait = departures / self.slots * progress.service_time.as_secs_f64();
        let wait = wait / (1.0 - progress.fraction_overtaking);
        Duration::from_secs_f64(wait.min(MAX_WAIT)).saturating_sub(self.age)
    }
}
