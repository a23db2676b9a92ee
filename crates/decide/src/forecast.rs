//! What to expect of one version in one class.

use crate::evidence::BUCKETS;
use crate::key;

/// What to expect of one version in one class.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Forecast {
    pub(crate) version: key::Version,
    /// The cost of an answer in microcents.
    pub(crate) cost: f64,
    /// Of its answers to requests as they come.
    pub(crate) first: Curve,
    /// Of its answers to requests for which another version's was rejected.
    pub(crate) later: Curve,
    /// Ratings that this rests on.
    pub(crate) ratings: f64,
}

/// What passes a threshold on confidence.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Curve {
    /// By threshold: the share of answers that pass it.
    pub(crate) pass: [f64; BUCKETS + 1],
    /// By threshold: the share of answers that pass it and are good.
    pub(crate) good: [f64; BUCKETS + 1],
    /// By threshold: the variance of `good`, from how few ratings there are.
    pub(crate) variance: [f64; BUCKETS + 1],
}

impl Forecast {
    /// The share of good answers to requests as they come.
    pub(crate) fn quality(&self) -> f64 {
        self.first.good[0]
    }

    /// The standard error of [`Self::quality`].
    pub(crate) fn error(&self) -> f64 {
        self.first.variance[0].sqrt()
    }
}
