//! Evidence on the quality of two releases.

use serde::{Deserialize, Serialize};

use super::{LatencyRatios, SlowShare};

/// Responses of both releases, as observed by one or more hosts.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Evidence {
    /// The new release.
    pub new: ResponseCounts,
    /// The old release.
    pub old: ResponseCounts,
    /// The new release, on endpoints with most of their slots in use.
    pub crowded: ResponseCounts,
    /// Ratios of the time until a response starts, on routes that choose the model.
    #[serde(rename = "first")]
    pub relative_start: LatencyRatios,
    /// Ratios of the time until a response starts, on other routes.
    #[serde(rename = "whole")]
    pub response_start: LatencyRatios,
    /// Ratios of the time between events.
    #[serde(rename = "step")]
    pub event_interval: LatencyRatios,
    /// Slow responses by the time until they start, on routes that don't choose the model.
    pub slow_starts: SlowShare,
    /// Slow responses by the time between events.
    pub slow_intervals: SlowShare,
}

impl Evidence {
    /// Adds the evidence of other hosts.
    pub(super) fn add(&mut self, other: &Self) {
        self.new.add(other.new);
        self.old.add(other.old);
        self.crowded.add(other.crowded);
        self.relative_start.merge(other.relative_start);
        self.response_start.merge(other.response_start);
        self.event_interval.merge(other.event_interval);
        self.slow_starts.merge(other.slow_starts);
        self.slow_intervals.merge(other.slow_intervals);
    }

    /// Returns the number of responses counted.
    pub(super) fn responses(&self) -> u32 {
        self.new.responses.saturating_add(self.old.responses)
    }
}

/// Counts of responses of one release.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ResponseCounts {
    /// All responses.
    #[serde(rename = "answers")]
    pub responses: u32,
    /// Failed responses.
    #[serde(rename = "bad")]
    pub failures: u32,
}

impl ResponseCounts {
    pub(super) fn failure_rate(self) -> f64 {
        f64::from(self.failures) / f64::from(self.responses.max(1))
    }

    /// Returns a lower confidence bound of the failure rate, two and a half standard errors below
    /// the observed rate. Services fail some requests anyway, so a few more failures among the
    /// first responses prove nothing.
    pub(super) fn min_failure_rate(self) -> f64 {
        const STD_ERRORS: f64 = 2.5;
        let rate = self.failure_rate();
        let error = (rate * (1.0 - rate) / f64::from(self.responses.max(1))).sqrt();
        rate - STD_ERRORS * error
    }

    pub(super) fn add(&mut self, other: Self) {
        self.responses = self.responses.saturating_add(other.responses);
        self.failures = self.failures.saturating_add(other.failures);
    }
}
