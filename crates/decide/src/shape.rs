//! How confidence tells good answers from bad ones.

use crate::evidence::BUCKETS;
use crate::tally::{Bucket, Tally};

/// Steps of the fit; it converges long before.
const STEPS: u32 = 12;
/// Unrated answers count as no more than so many, since the shape may be
/// another in this class.
const UNRATED: f64 = 1200.0;
/// What an unrated answer tells, as a part of what a rating tells.
const UNRATED_WORTH: f64 = 0.35;
/// The buckets of the surest answers.
const SUREST: usize = 2;
/// Ratings of the surest answers that the configured noise is worth, and the
/// most that is taken for noise.
const NOISE_WEIGHT: f64 = 100.0;
const MOST_NOISE: f64 = 0.1;
/// Ratings in all after which the shape itself is trusted by half.
const SHAPE_RATINGS: f64 = 40.0;

/// How confidence spreads over good and over bad answers.
///
/// The mix of the two that an unrated answer's confidence shows gives away how
/// many are good, so that a version is known long before it has been rated often.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Shape {
    good: [f64; BUCKETS],
    bad: [f64; BUCKETS],
    /// The share of ratings that are wrong.
    noise: f64,
    /// Ratings that this rests on.
    ratings: f64,
}

/// A share of good answers, and how many ratings it is worth.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Fit {
    pub(crate) share: f64,
    pub(crate) weight: f64,
}

impl Shape {
    /// What is taken for granted of engines: the surer the better.
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

    /// The shape that ratings show, with this one worth `weight` ratings.
    pub(crate) fn learned(&self, tally: &Tally, weight: f64) -> Self {
        let noise = self.noise;
        let clear = 1.0 - 2.0 * noise;
        let mut it = *self;
        let truly = |seen: &[f64; BUCKETS], other: &[f64; BUCKETS]| {
            let of = |at: usize| ((1.0 - noise) * seen[at] - noise * other[at]).max(0.0) / clear;
            std::array::from_fn::<f64, BUCKETS, _>(of)
        };
        it.good = blend(&truly(&tally.good, &tally.bad), &self.good, weight);
        it.bad = blend(&truly(&tally.bad, &tally.good), &self.bad, weight);
        it.ratings = self.ratings.max(tally.ratings());
        it
    }

    /// The same with the share of wrong ratings that the tally shows.
    pub(crate) fn denoised(&self, tally: &Tally) -> Self {
        Self {
            noise: self.noise_in(tally),
            ..*self
        }
    }

    /// The share of wrong ratings: the surest answers are nearly all good, so
    /// the bad ratings among them are mostly wrong.
    fn noise_in(&self, tally: &Tally) -> f64 {
        let surest = BUCKETS - SUREST..;
        let bad: f64 = tally.bad[surest.clone()].iter().sum();
        let good: f64 = tally.good[surest].iter().sum();
        let noise = (bad + NOISE_WEIGHT * self.noise) / (bad + good + NOISE_WEIGHT);
        noise.min(MOST_NOISE.max(self.noise))
    }

    /// How confidence spreads when `share` of the answers are good.
    pub(crate) fn spread(&self, share: f64) -> [f64; BUCKETS] {
        std::array::from_fn(|at| share * self.good[at] + (1.0 - share) * self.bad[at])
    }

    /// How confidence spreads over bad answers.
    pub(crate) fn bad(&self) -> &[f64; BUCKETS] {
        &self.bad
    }

    /// The chance that an answer in a bucket is good when `share` of all are.
    pub(crate) fn chance(&self, share: f64, at: usize) -> f64 {
        let good = share * self.good[at];
        good / (good + (1.0 - share) * self.bad[at]).max(1e-9)
    }

    /// The chance that such an answer is rated bad.
    pub(crate) fn rated_bad(&self, chance: f64) -> f64 {
        chance * self.noise + (1.0 - chance) * (1.0 - self.noise)
    }

    /// The good ones among rated answers, with the wrong ratings taken out.
    pub(crate) fn truly_good(&self, good: f64, bad: f64) -> f64 {
        let all = good + bad;
        ((good - self.noise * all) / (1.0 - 2.0 * self.noise)).clamp(0.0, all)
    }

    /// The share of good answers that explains the tally best.
    pub(crate) fn fit(&self, tally: &Tally, prior: Fit) -> Fit {
        let unrated = (tally.answers() - tally.ratings()).max(0.0);
        let scale = (UNRATED / unrated.max(1e-9)).min(1.0);
        let mut share = prior.share;
        let mut total = 1.0;
        for _ in 0..STEPS {
            let mut good = prior.share * prior.weight;
            total = prior.weight;
            for at in 0..BUCKETS {
                let chance = self.chance(share, at);
                let rated = tally.good[at] + tally.bad[at];
                let unrated = (tally.answered[at] - rated).max(0.0) * scale;
                good += unrated * chance;
                good += tally.good[at] * good_if(chance, 1.0 - self.noise);
                good += tally.bad[at] * good_if(chance, self.noise);
                total += unrated + rated;
            }
            share = (good / total).clamp(0.005, 0.995);
        }
        let trust = self.ratings / (self.ratings + SHAPE_RATINGS);
        let clear = (1.0 - 2.0 * self.noise).powi(2);
        let rated = tally.ratings();
        let unrated = (total - prior.weight - rated).max(0.0);
        let weight = prior.weight + clear * rated + UNRATED_WORTH * trust * unrated;
        Fit { share, weight }
    }
}

impl Fit {
    /// The variance of the share.
    pub(crate) fn variance(self) -> f64 {
        self.share * (1.0 - self.share) / (self.weight + 1.0)
    }
}

/// The chance that an answer is good after a rating that a good one gets with
/// chance `rated`.
fn good_if(chance: f64, rated: f64) -> f64 {
    let good = chance * rated;
    good / (good + (1.0 - chance) * (1.0 - rated)).max(1e-9)
}

/// The shares of `counts`, with `prior` shares worth `weight` counts.
pub(crate) fn blend(
    counts: &[f64; BUCKETS],
    prior: &[f64; BUCKETS],
    weight: f64,
) -> [f64; BUCKETS] {
    let total = counts.iter().sum::<f64>() + weight;
    std::array::from_fn(|at| (counts[at] + weight * prior[at]) / total)
}
