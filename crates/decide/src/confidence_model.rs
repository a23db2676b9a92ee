//! Estimates the share of good responses from their confidence.

use crate::evidence::BUCKETS;
use crate::histogram::{Bucket, ConfidenceHistogram};

/// Iterations of the expectation-maximization fit. It converges long before.
const FIT_ITERATIONS: u32 = 12;
/// The maximum number of unrated responses that count in one fit, because the
/// confidence distributions, estimated over all classes, may differ from those of
/// the fitted class.
const MAX_UNRATED: f64 = 1200.0;
/// The weight of an unrated response relative to a rating.
const UNRATED_WEIGHT: f64 = 0.35;
/// The number of buckets with the highest confidence that noise is estimated from.
const TOP_BUCKETS: usize = 2;
/// The weight of the configured noise, in ratings.
const NOISE_PRIOR_RATINGS: f64 = 100.0;
/// The maximum estimated noise, unless the configured noise is higher.
const MAX_NOISE: f64 = 0.1;
/// The number of ratings at which unrated responses have half their full weight.
const HALF_TRUST_RATINGS: f64 = 40.0;

/// The distributions of confidence over good and over bad responses.
///
/// The confidence of unrated responses follows a mixture of the two, from which
/// the share of good ones is estimated with few ratings.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ConfidenceModel {
    good: [f64; BUCKETS],
    bad: [f64; BUCKETS],
    /// The share of wrong ratings.
    noise: f64,
    /// The number of ratings behind the distributions or behind their prior,
    /// whichever is larger.
    ratings: f64,
}

/// An estimated share of good responses, and its weight in ratings.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Fit {
    pub(crate) share: f64,
    pub(crate) weight: f64,
}

impl ConfidenceModel {
    /// Returns the prior: good responses tend to high confidence, bad ones to low.
    pub(crate) fn prior(noise: f64) -> Self {
        let mut it = Self {
            good: [0.0; BUCKETS],
            bad: [0.0; BUCKETS],
            noise: noise.clamp(0.0, 0.4),
            ratings: 0.0,
        };
        for bucket in Bucket::all() {
            let (low, high) = (bucket.low(), bucket.high());
            it.good[bucket.index()] = high * high - low * low;
            it.bad[bucket.index()] = (1.0 - low).powi(2) - (1.0 - high).powi(2);
        }
        it
    }

    /// Returns the distributions estimated from ratings, with `self` as a prior
    /// that weighs `weight` ratings.
    pub(crate) fn updated(&self, histogram: &ConfidenceHistogram, weight: f64) -> Self {
        let noise = self.noise;
        let reliability = 1.0 - 2.0 * noise;
        let mut it = *self;
        let denoise = |seen: &[f64; BUCKETS], other: &[f64; BUCKETS]| {
            let of =
                |at: usize| ((1.0 - noise) * seen[at] - noise * other[at]).max(0.0) / reliability;
            std::array::from_fn::<f64, BUCKETS, _>(of)
        };
        it.good = blend(
            &denoise(&histogram.good, &histogram.bad),
            &self.good,
            weight,
        );
        it.bad = blend(&denoise(&histogram.bad, &histogram.good), &self.bad, weight);
        it.ratings = self.ratings.max(histogram.ratings());
        it
    }

    /// Returns the same distributions with the noise estimated from `histogram`.
    pub(crate) fn with_noise_from(&self, histogram: &ConfidenceHistogram) -> Self {
        Self {
            noise: self.estimate_noise(histogram),
            ..*self
        }
    }

    /// Estimates the share of wrong ratings. Nearly all responses of the highest
    /// confidence are good, so that bad ratings among them are mostly wrong.
    fn estimate_noise(&self, histogram: &ConfidenceHistogram) -> f64 {
        let top = BUCKETS - TOP_BUCKETS..;
        let bad: f64 = histogram.bad[top.clone()].iter().sum();
        let good: f64 = histogram.good[top].iter().sum();
        let noise = (bad + NOISE_PRIOR_RATINGS * self.noise) / (bad + good + NOISE_PRIOR_RATINGS);
        noise.min(MAX_NOISE.max(self.noise))
    }

    /// Returns the distribution of confidence if `share` of the responses are good.
    pub(crate) fn distribution(&self, share: f64) -> [f64; BUCKETS] {
        std::array::from_fn(|at| share * self.good[at] + (1.0 - share) * self.bad[at])
    }

    /// Returns the distribution of confidence over bad responses.
    pub(crate) fn bad_distribution(&self) -> &[f64; BUCKETS] {
        &self.bad
    }

    /// Returns the probability that a response in bucket `at` is good if `share` of
    /// all responses are.
    pub(crate) fn chance(&self, share: f64, at: usize) -> f64 {
        let good = share * self.good[at];
        good / (good + (1.0 - share) * self.bad[at]).max(1e-9)
    }

    /// Returns the probability that a response is rated bad, given the probability
    /// that it is good.
    pub(crate) fn bad_rating_chance(&self, chance: f64) -> f64 {
        chance * self.noise + (1.0 - chance) * (1.0 - self.noise)
    }

    /// Estimates the number of good responses among rated ones, corrected for wrong
    /// ratings.
    pub(crate) fn truly_good(&self, good: f64, bad: f64) -> f64 {
        let all = good + bad;
        ((good - self.noise * all) / (1.0 - 2.0 * self.noise)).clamp(0.0, all)
    }

    /// Estimates the share of good responses by expectation maximization. `prior`
    /// counts as `prior.weight` responses. Unrated responses add less to the
    /// returned weight, the fewer ratings the distributions are based on.
    pub(crate) fn fit(&self, histogram: &ConfidenceHistogram, prior: Fit) -> Fit {
        let unrated = (histogram.responses() - histogram.ratings()).max(0.0);
        let scale = (MAX_UNRATED / unrated.max(1e-9)).min(1.0);
        let mut share = prior.share;
        let mut total = 1.0;
        for _ in 0..FIT_ITERATIONS {
            let mut good = prior.share * prior.weight;
            total = prior.weight;
            for at in 0..BUCKETS {
                let chance = self.chance(share, at);
                let rated = histogram.good[at] + histogram.bad[at];
                let unrated = (histogram.answered[at] - rated).max(0.0) * scale;
                good += unrated * chance;
                good += histogram.good[at] * posterior_good(chance, 1.0 - self.noise);
                good += histogram.bad[at] * posterior_good(chance, self.noise);
                total += unrated + rated;
            }
            share = (good / total).clamp(0.005, 0.995);
        }
        let trust = self.ratings / (self.ratings + HALF_TRUST_RATINGS);
        let reliability = (1.0 - 2.0 * self.noise).powi(2);
        let rated = histogram.ratings();
        let unrated = (total - prior.weight - rated).max(0.0);
        let weight = prior.weight + reliability * rated + UNRATED_WEIGHT * trust * unrated;
        Fit { share, weight }
    }
}

impl Fit {
    /// Returns the variance of the share.
    pub(crate) fn variance(self) -> f64 {
        self.share * (1.0 - self.share) / (self.weight + 1.0)
    }
}

/// Returns the posterior probability that a response is good after a rating. A good
/// response gets this rating with probability `likelihood`, and a bad one with
/// `1 - likelihood`.
fn posterior_good(chance: f64, likelihood: f64) -> f64 {
    let good = chance * likelihood;
    good / (good + (1.0 - chance) * (1.0 - likelihood)).max(1e-9)
}

/// Returns the shares of `counts`, smoothed by `prior` with a weight of `weight`
/// counts.
pub(crate) fn blend(
    counts: &[f64; BUCKETS],
    prior: &[f64; BUCKETS],
    weight: f64,
) -> [f64; BUCKETS] {
    let total = counts.iter().sum::<f64>() + weight;
    std::array::from_fn(|at| (counts[at] + weight * prior[at]) / total)
}
