//! Comparison of the latencies of two releases.

use serde::{Deserialize, Serialize};

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
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
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

/// A moving mean: the plain mean of up to `WINDOW_SAMPLES` samples; after that, older samples decay
/// exponentially.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct MovingMean {
    count: f64,
    pub(super) value: f64,
}

impl MovingMean {
    /// Minimum number of samples of the old release for a comparison.
    const MIN_SAMPLES: f64 = 8.0;
    /// Number of samples after which old ones decay exponentially.
    const WINDOW_SAMPLES: f64 = 50.0;

    pub(super) fn add(&mut self, value: f64) {
        self.count = (self.count + 1.0).min(Self::WINDOW_SAMPLES);
        self.value += (value - self.value) / self.count;
    }

    pub(super) fn is_known(&self) -> bool {
        self.count >= Self::MIN_SAMPLES
    }
}
