//! What to expect of one version in one class.

use crate::evidence::BUCKETS;
use crate::key;

/// What to expect of one version in one class.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Forecast {
    pub(crate) version: key::Version,
    /// The cost of an answer in microcents.
    pub(crate) cost: f64,
    /// By threshold: the share of answers that pass it.
    pub(crate) pass: [f64; BUCKETS + 1],
    /// By threshold: the share of answers that pass it and are good.
    pub(crate) good: [f64; BUCKETS + 1],
    /// By threshold: the variance of `good`, from how few ratings there are.
    pub(crate) variance: [f64; BUCKETS + 1],
    /// The share of good answers to requests for which another version's was rejected.
    pub(crate) later: f64,
    /// Its variance.
    pub(crate) later_variance: f64,
    /// Ratings that this rests on.
    pub(crate) ratings: f64,
}

impl Forecast {
    /// The share of all its answers that are good.
    pub(crate) fn quality(&self) -> f64 {
        self.good[0]
    }

    /// The standard error of [`Self::quality`].
    pub(crate) fn error(&self) -> f64 {
        self.variance[0].sqrt()
    }
}
