//! Attempts in flight.

use std::sync::Arc;
use std::time::Duration;

use crate::Fingerprint;
use crate::endpoint::{Key, ProcessId};
use crate::rollout::Observation;

/// An attempt in flight.
#[derive(Debug)]
pub struct InFlight {
    /// The endpoint.
    pub endpoint: Key,
    /// The request's fingerprint.
    pub(super) fingerprint: Fingerprint,
    /// The fingerprints of the parts of its prompt.
    pub(super) parts: Arc<[Fingerprint]>,
    /// The endpoint's process when the attempt began.
    pub(super) process: Option<ProcessId>,
    pub(super) started: Duration,
    pub(super) pending_prefill: Duration,
    /// The tokens that it holds in the endpoint's memory at most.
    pub(super) tokens: u64,
    /// Whether the endpoint was crowded.
    pub(super) is_crowded: bool,
    /// Whether the endpoint was being filled, to test a new release under load.
    pub(super) is_filling: bool,
    /// The expected time until the response starts.
    pub(super) expected_latency: Option<Duration>,
    pub(super) response_started: Option<Duration>,
    /// The endpoint's pace clock when the response started.
    pub(super) pace_seconds: f64,
    pub(super) events: u32,
    pub(super) last_event: Duration,
    /// Whether the endpoint was left out because this host had no free connection to it.
    pub(super) lacks_connection: bool,
}

impl InFlight {
    /// Records `count` events of the response stream.
    pub fn events(&mut self, now: Duration, count: u32) {
        self.events += count;
        self.last_event = now;
    }

    /// Records that this host has no free connection to the endpoint, which isn't held against
    /// the endpoint if the attempt ends as [`Ending::NotSent`](crate::Ending::NotSent).
    pub fn connection_unavailable(&mut self) {
        self.lacks_connection = true;
    }

    /// Returns the number of intervals between events and the time of the last event, if there
    /// are enough of them for a meaningful mean interval.
    pub(super) fn intervals(&self) -> Option<(u32, Duration)> {
        /// With fewer events, a stream's pace can't be told from its bursts.
        const MIN_EVENTS: u32 = 4;
        (self.events >= MIN_EVENTS).then(|| (self.events - 1, self.last_event))
    }

    pub(super) fn observation(&self, class: u64, failed: bool) -> Observation {
        let took = self
            .response_started
            .map(|it| it.saturating_sub(self.started));
        let (relative_start, response_start) = match (took, self.expected_latency) {
            (Some(took), Some(expected_latency)) => {
                (Some(took.div_duration_f64(expected_latency)), None)
            }
            (took, _) => (None, took.map(|it| it.as_secs_f64())),
        };
        let event_interval = self.response_started.zip(self.intervals());
        let event_interval = event_interval.map(|(started, (intervals, last_event))| {
            let span = last_event.saturating_sub(started).as_secs_f64();
            span / f64::from(intervals)
        });
        Observation {
            class,
            failed,
            is_crowded: self.is_crowded,
            relative_start,
            response_start,
            event_interval,
        }
    }
}
