//! A sequential test.

/// The cumulative sum of log-likelihood ratios of "something went wrong at some
/// time" against "all is as it was". It rests at 0 while all is well, so that a
/// long good past doesn't hide a new fault.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Cusum {
    sum: f64,
}

impl Cusum {
    /// Takes `count` equal observations of this log-likelihood ratio.
    pub(crate) fn add(&mut self, ratio: f64, count: f64) {
        self.sum = (self.sum + ratio * count).max(0.0);
    }

    /// The same for a part of a batch whose order isn't known: the sum may go
    /// below zero until [`Self::settle`], so that the order doesn't matter.
    pub(crate) fn add_unordered(&mut self, ratio: f64, count: f64) {
        self.sum += ratio * count;
    }

    /// Ends a batch.
    pub(crate) fn settle(&mut self) {
        self.sum = self.sum.max(0.0);
    }

    /// The same, without getting beyond `most` by it.
    pub(crate) fn add_up_to(&mut self, most: f64, ratio: f64, count: f64) {
        let before = self.sum;
        self.add(ratio, count);
        if ratio > 0.0 {
            self.sum = self.sum.min(most.max(before));
        }
    }

    pub(crate) fn sum(self) -> f64 {
        self.sum
    }

    pub(crate) fn reset(&mut self) {
        self.sum = 0.0;
    }
}
