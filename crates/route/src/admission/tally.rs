//! Counts that decay with time.

use std::time::Duration;

/// A count that decays exponentially with time. At a constant rate it approaches the number of
/// events within its time constant.
#[derive(Clone, Copy, Debug)]
pub(super) struct Tally {
    time_constant: Duration,
    count: f64,
    at: Duration,
}

impl Tally {
    pub(super) const fn new(time_constant: Duration) -> Self {
        Self {
            time_constant,
            count: 0.0,
            at: Duration::ZERO,
        }
    }

    pub(super) fn add(&mut self, now: Duration) {
        self.count = self.value(now) + 1.0;
        self.at = self.at.max(now);
    }

    /// Returns the time of the last event.
    pub(super) fn last(&self) -> Duration {
        self.at
    }

    pub(super) fn value(&self, now: Duration) -> f64 {
        let age = now.saturating_sub(self.at);
        self.count * (-age.div_duration_f64(self.time_constant)).exp()
    }
}
