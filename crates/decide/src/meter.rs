//! Rates and means that forget.

use std::time::Duration;

/// Events a second, weighted towards the recent ones.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Meter {
    memory: f64,
    rate: f64,
    at: Duration,
}

impl Meter {
    /// A meter that mostly forgets what is older than `memory`.
    pub(crate) fn new(memory: Duration) -> Self {
        Self {
            memory: memory.as_secs_f64(),
            rate: 0.0,
            at: Duration::ZERO,
        }
    }

    pub(crate) fn add(&mut self, now: Duration, amount: f64) {
        self.rate = self.rate(now) + amount / self.memory;
        self.at = now;
    }

    pub(crate) fn rate(&self, now: Duration) -> f64 {
        let passed = now.saturating_sub(self.at).as_secs_f64();
        self.rate * (-passed / self.memory).exp()
    }
}

/// A mean and mean deviation, weighted towards the recent values.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Mean {
    value: f64,
    deviation: f64,
    count: u32,
}

impl Mean {
    /// The weight of a new value once enough have come.
    const GAIN: f64 = 0.05;

    pub(crate) fn add(&mut self, value: f64) {
        self.count = self.count.saturating_add(1);
        let gain = Self::GAIN.max(1.0 / f64::from(self.count));
        let error = value - self.value;
        self.value += gain * error;
        self.deviation += gain * (error.abs() - self.deviation);
    }

    /// The mean, once `least` values have come.
    pub(crate) fn value(&self, least: u32) -> Option<f64> {
        (self.count >= least).then_some(self.value)
    }

    /// A value that few exceed, once `least` have come.
    pub(crate) fn high(&self, least: u32) -> Option<f64> {
        let value = self.value(least)?;
        Some(value + 4.0 * self.deviation)
    }
}
