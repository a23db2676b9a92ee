//! Comparison of the latencies of two releases.

use derive_more::Display;
use serde::{Deserialize, Serialize};

use super::{ResponseCounts, Side};

/// A kind of latency that is compared.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(super) enum LatencyKind {
    /// Until the response starts, relative to the expected time, on routes that choose the model.
    RelativeStart,
    /// Until the response starts, on other routes.
    ResponseStart,
    /// Between two events of a stream.
    EventInterval,
}

/// Statistics of the logarithms of the latency ratios between the new and the old release.
///
/// Even a good release has single slow responses. Logarithms keep these from dominating the mean.
#[derive(Clone, Copy, Debug, Default, Display, PartialEq, Serialize, Deserialize)]
#[display("{:.2} of {count}", self.mean_ratio())]
pub struct LatencyRatios {
    count: u32,
    sum: f64,
    squares: f64,
}

impl LatencyRatios {
    /// Minimum number of samples for a conclusion.
    const MIN_SAMPLES: u32 = 10;
    /// Standard errors by which the mean must exceed the threshold.
    const STD_ERRORS: f64 = 2.5;

    pub(super) fn add(&mut self, log: f64) {
        self.count += 1;
        self.sum += log;
        self.squares += log * log;
    }

    pub(super) fn merge(&mut self, other: Self) {
        self.count = self.count.saturating_add(other.count);
        self.sum += other.sum;
        self.squares += other.squares;
    }

    /// Returns the geometric mean of the ratios; 1 if there are none.
    fn mean_ratio(&self) -> f64 {
        (self.sum / f64::from(self.count.max(1))).exp()
    }

    /// Returns whether the mean ratio exceeds `factor` with confidence.
    pub(super) fn exceeds(&self, factor: f64) -> bool {
        if self.count < Self::MIN_SAMPLES {
            return false;
        }
        let count = f64::from(self.count);
        let mean = self.sum / count;
        let variance = (self.squares / count - mean * mean).max(0.0);
        mean - Self::STD_ERRORS * (variance / count).sqrt() > factor.ln()
    }
}

/// The distribution of a latency's logarithm on the old release: moving mean and variance of up to
/// `WINDOW_SAMPLES` samples; after that, older samples decay exponentially.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Baseline {
    count: f64,
    pub(super) mean: f64,
    variance: f64,
}

impl Baseline {
    /// Minimum number of samples of the old release for a comparison.
    const MIN_SAMPLES: f64 = 8.0;
    /// Number of samples after which old ones decay exponentially.
    const WINDOW_SAMPLES: f64 = 50.0;
    /// Standard deviations above the mean from which a latency counts as slow. Few responses of
    /// the old release are.
    const SLOW_DEVIATIONS: f64 = 1.5;
    /// Least ratio to the mean of a slow latency: hardly varying ones may be slightly higher.
    const MIN_SLOW_RATIO: f64 = 1.5;

    pub(super) fn add(&mut self, value: f64) {
        self.count = (self.count + 1.0).min(Self::WINDOW_SAMPLES);
        let distance = value - self.mean;
        self.mean += distance / self.count;
        self.variance += (distance * (value - self.mean) - self.variance) / self.count;
    }

    pub(super) fn is_known(&self) -> bool {
        self.count >= Self::MIN_SAMPLES
    }

    /// Returns whether a latency is slow, compared with those of the old release.
    pub(super) fn is_slow(&self, value: f64) -> bool {
        let distance = Self::SLOW_DEVIATIONS * self.variance.max(0.0).sqrt();
        value > self.mean + distance.max(Self::MIN_SLOW_RATIO.ln())
    }
}

/// Counts of slow responses of both releases, by one kind of latency.
///
/// A release that is slow for a part of its requests hardly changes the mean of all, but many of
/// its responses are slower than nearly all of the old release's.
#[derive(Clone, Copy, Debug, Default, Display, PartialEq, Serialize, Deserialize)]
#[display("{}/{} {}/{}", new.failures, new.responses, old.failures, old.responses)]
pub struct SlowShare {
    new: ResponseCounts,
    old: ResponseCounts,
}

impl SlowShare {
    /// Minimum number of slow responses for a conclusion.
    const MIN_SLOW: u32 = 6;
    /// Maximum difference between the lower confidence bound of the new release's share of slow
    /// responses and the old release's share.
    const MARGIN: f64 = 0.1;

    pub(super) fn add(&mut self, side: Side, is_slow: bool) {
        let counts = match side {
            Side::New => &mut self.new,
            Side::Old => &mut self.old,
        };
        counts.add(ResponseCounts {
            responses: 1,
            failures: u32::from(is_slow),
        });
    }

    pub(super) fn merge(&mut self, other: Self) {
        self.new.add(other.new);
        self.old.add(other.old);
    }

    /// Returns whether the new release has more slow responses with confidence.
    pub(super) fn is_worse(&self) -> bool {
        let max = self.old.failure_rate() + Self::MARGIN;
        self.new.failures >= Self::MIN_SLOW && self.new.min_failure_rate() > max
    }
}
