//! A CUSUM change detector.

/// A cumulative sum of log-likelihood ratios of a fault against the baseline.
///
/// Outside a batch the sum is never negative, so a long healthy period doesn't
/// delay the detection of a new fault.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Cusum {
    sum: f64,
}

impl Cusum {
    /// Adds `count` observations with this log-likelihood ratio.
    pub(crate) fn add(&mut self, ratio: f64, count: f64) {
        self.sum = (self.sum + ratio * count).max(0.0);
    }

    /// Adds observations from a batch of unknown order. The sum may be negative
    /// until [`Self::end_batch`], so the result doesn't depend on the order.
    pub(crate) fn add_unordered(&mut self, ratio: f64, count: f64) {
        self.sum += ratio * count;
    }

    /// Ends a batch of [`Self::add_unordered`].
    pub(crate) fn end_batch(&mut self) {
        self.sum = self.sum.max(0.0);
    }

    /// Adds observations like [`Self::add`], but doesn't raise the sum above `limit`.
    pub(crate) fn add_capped(&mut self, limit: f64, ratio: f64, count: f64) {
        let before = self.sum;
        self.add(ratio, count);
        if ratio > 0.0 {
            self.sum = self.sum.min(limit.max(before));
        }
    }

    pub(crate) fn sum(self) -> f64 {
        self.sum
    }

    pub(crate) fn reset(&mut self) {
        self.sum = 0.0;
    }
}
