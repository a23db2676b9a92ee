//! The speed of an endpoint relative to the others of its service.

use std::time::Duration;

/// The weight of the prior, in intervals between events. About two streams: the interval hardly
/// varies between the streams of an endpoint, and a host has few streams at each of many.
const PRIOR_INTERVALS: f64 = 60.0;
/// The decay constant of the moving average, in intervals: a stream with `n` of them multiplies
/// the weight of earlier ones by `WINDOW_INTERVALS / (WINDOW_INTERVALS + n)`. About 30 streams.
const WINDOW_INTERVALS: f64 = 1_000.0;
/// The time in which the weight of a stream halves. An endpoint that is avoided because it was
/// slow has few further streams, so it must become usual again without any.
const HALF_LIFE: Duration = Duration::from_secs(75);
/// The bound of a single stream's ratio, since a caller that reads slowly delays a stream too.
/// Equal to the bound of [`Pace::factor`](crate::Pace::factor), so that a false pace shows here.
const MAX_RATIO: f64 = 10.0;
/// The bound of the learned factor.
const MAX_FACTOR: f64 = 5.0;

/// A moving average of how much longer an endpoint's streams take than usual ones.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Speed {
    /// The weighted sum of the logarithms of ratios.
    logarithms: f64,
    /// The sum of the weights.
    intervals: f64,
    /// The time of the latest stream.
    at: Duration,
}

impl Speed {
    /// Records a stream with `intervals` intervals between events, whose mean is `ratio` times
    /// the usual one.
    pub(super) fn record(&mut self, now: Duration, intervals: u32, ratio: f64) {
        let weight = f64::from(intervals);
        let decay = self.fading(now) * WINDOW_INTERVALS / (WINDOW_INTERVALS + weight);
        let logarithm = ratio.clamp(1.0 / MAX_RATIO, MAX_RATIO).ln();
        self.logarithms = self.logarithms * decay + weight * logarithm;
        self.intervals = self.intervals * decay + weight;
        self.at = self.at.max(now);
    }

    /// Returns how many times longer work takes than at a usual endpoint; 1 if nothing is known.
    pub(super) fn factor(&self, now: Duration) -> f64 {
        let fading = self.fading(now);
        let mean = self.logarithms * fading / (self.intervals * fading + PRIOR_INTERVALS);
        mean.exp().clamp(1.0 / MAX_FACTOR, MAX_FACTOR)
    }

    /// Returns whether a stream was recorded.
    pub(super) fn is_known(&self) -> bool {
        self.intervals > 0.0
    }

    fn fading(&self, now: Duration) -> f64 {
        let age = now.saturating_sub(self.at);
        (-age.div_duration_f64(HALF_LIFE)).exp2()
    }
}
