//! Exponentially weighted rates and means.

use std::time::Duration;

/// An exponentially decaying average rate per second.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Meter {
    time_constant: f64,
    rate: f64,
    updated_at: Duration,
}

impl Meter {
    /// Creates a meter with this time constant.
    pub(crate) fn new(time_constant: Duration) -> Self {
        Self {
            time_constant: time_constant.as_secs_f64(),
            rate: 0.0,
            updated_at: Duration::ZERO,
        }
    }

    pub(crate) fn add(&mut self, now: Duration, amount: f64) {
        self.rate = self.rate(now) + amount / self.time_constant;
        self.updated_at = now;
    }

    pub(crate) fn rate(&self, now: Duration) -> f64 {
        let passed = now.saturating_sub(self.updated_at).as_secs_f64();
        self.rate * (-passed / self.time_constant).exp()
    }
}

/// A mean and mean absolute deviation, exponentially weighted after the first 20
/// values.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Mean {
    value: f64,
    deviation: f64,
    count: u32,
}

impl Mean {
    /// The minimum weight of a new value.
    const MIN_GAIN: f64 = 0.05;

    pub(crate) fn add(&mut self, value: f64) {
        self.count = self.count.saturating_add(1);
        let gain = Self::MIN_GAIN.max(1.0 / f64::from(self.count));
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
