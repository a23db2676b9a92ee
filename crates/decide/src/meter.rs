//! Exponentially weighted rates and means.

use std::time::Duration;

/// An exponentially decaying average rate per second.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Meter {
    memory: f64,
    rate: f64,
    at: Duration,
}

impl Meter {
    /// Creates a meter with the time constant `memory`.
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

/// An exponentially weighted mean and mean absolute deviation.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Mean {
    value: f64,
    deviation: f64,
    count: u32,
}

impl Mean {
    /// The minimum weight of a new value.
    const GAIN: f64 = 0.05;

    pub(crate) fn add(&mut self, value: f64) {
        self.count = self.count.saturating_add(1);
        let gain = Self::GAIN.max(1.0 / f64::from(self.count));
        let error = value - self.value;
        self.value += gain * error;
        self.deviation += gain * (error.abs() - self.deviation);
    }

    /// Returns the mean if there are at least `least` values.
    pub(crate) fn value(&self, least: u32) -> Option<f64> {
        (self.count >= least).then_some(self.value)
    }

    /// Returns the mean plus four deviations, a bound that few values exceed, if
    /// there are at least `least` values.
    pub(crate) fn high(&self, least: u32) -> Option<f64> {
        let value = self.value(least)?;
        Some(value + 4.0 * self.deviation)
    }
}
