//! Predicted cost and quality of one version in one class.

use crate::evidence::BUCKETS;
use crate::key;

/// The predicted cost and quality of one version in one class.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Forecast {
    pub(crate) version: key::Version,
    /// The cost of a response in microcents.
    pub(crate) cost: f64,
    /// The quality of a cascade's first step, from responses at `StepPosition::First`.
    pub(crate) first: Curve,
    /// The quality of a later step, from responses at `StepPosition::Later`.
    pub(crate) later: Curve,
    /// The number of ratings of the version in the class.
    pub(crate) ratings: f64,
}

/// The fractions of responses that pass each confidence threshold.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Curve {
    /// By threshold: the fraction of responses that pass it.
    pub(crate) pass: [f64; BUCKETS + 1],
    /// By threshold: the fraction of responses that pass it and are good.
    pub(crate) good: [f64; BUCKETS + 1],
    /// By threshold: the variance of the estimate in `good`.
    pub(crate) variance: [f64; BUCKETS + 1],
}

impl Forecast {
    /// Returns the fraction of good responses as the first step, without a threshold.
    pub(crate) fn quality(&self) -> f64 {
        self.first.good[0]
    }

    /// Returns the standard error of [`Self::quality`].
    pub(crate) fn error(&self) -> f64 {
        self.first.variance[0].sqrt()
    }
}
