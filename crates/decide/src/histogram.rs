//! Histograms of responses and ratings by confidence.

use crate::evidence::BUCKETS;

/// The upper bounds of the confidence buckets, finer at the top, where most
/// responses of good engines are.
const UPPER_BOUNDS: [f64; BUCKETS - 1] =
    [0.1, 0.2, 0.3, 0.4, 0.5, 0.6, 0.7, 0.78, 0.85, 0.91, 0.96];
/// The decayed number of ratings from which each update discounts the old ones.
const RATING_DECAY_THRESHOLD: f64 = 1500.0;
/// The decayed number of responses from which each update discounts the old ones.
const RESPONSE_DECAY_THRESHOLD: f64 = 3000.0;
/// The maximum count that the decay of one update is computed from, so that a large
/// batch doesn't erase the history.
const MAX_COUNT_FOR_DECAY: f64 = 100.0;

/// A confidence bucket, ordered from least to most confident.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Bucket(usize);

impl Bucket {
    /// Returns all buckets, the least confident first.
    pub(crate) fn all() -> impl DoubleEndedIterator<Item = Self> {
        (0..BUCKETS).map(Self)
    }

    pub(crate) fn index(self) -> usize {
        self.0
    }

    /// Returns whether the bucket is at or above a threshold. No bucket passes the
    /// threshold [`BUCKETS`].
    pub(crate) fn passes(self, threshold: usize) -> bool {
        self.0 >= threshold
    }

    /// Returns the inclusive lower bound.
    pub(crate) fn low(self) -> f64 {
        if self.0 == 0 {
            0.0
        } else {
            UPPER_BOUNDS[self.0 - 1]
        }
    }

    /// Returns the upper bound, which is exclusive except for the last bucket.
    pub(crate) fn high(self) -> f64 {
        UPPER_BOUNDS.get(self.0).copied().unwrap_or(1.0)
    }
}

impl From<f64> for Bucket {
    fn from(confidence: f64) -> Self {
        Self(UPPER_BOUNDS.partition_point(|bound| *bound <= confidence))
    }
}

/// Counts of responses and ratings by confidence bucket, with exponential decay.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct ConfidenceHistogram {
    pub(crate) answered: [f64; BUCKETS],
    pub(crate) good: [f64; BUCKETS],
    pub(crate) bad: [f64; BUCKETS],
}

impl ConfidenceHistogram {
    pub(crate) fn record_responses(&mut self, bucket: Bucket, count: f64) {
        if self.responses() >= RESPONSE_DECAY_THRESHOLD {
            let keep = 1.0 - count.min(MAX_COUNT_FOR_DECAY) / RESPONSE_DECAY_THRESHOLD;
            decay(&mut self.answered, keep);
        }
        self.answered[bucket.index()] += count;
    }

    pub(crate) fn record_ratings(&mut self, bucket: Bucket, good: f64, bad: f64) {
        if self.ratings() >= RATING_DECAY_THRESHOLD {
            let keep = 1.0 - (good + bad).min(MAX_COUNT_FOR_DECAY) / RATING_DECAY_THRESHOLD;
            decay(&mut self.good, keep);
            decay(&mut self.bad, keep);
        }
        self.good[bucket.index()] += good;
        self.bad[bucket.index()] += bad;
    }

    /// Returns the decayed number of responses.
    pub(crate) fn responses(&self) -> f64 {
        self.answered.iter().sum()
    }

    /// Returns the decayed number of ratings.
    pub(crate) fn ratings(&self) -> f64 {
        self.good_ratings() + self.bad_ratings()
    }

    /// Returns the decayed number of good ratings.
    pub(crate) fn good_ratings(&self) -> f64 {
        self.good.iter().sum()
    }

    /// Returns the decayed number of bad ratings.
    pub(crate) fn bad_ratings(&self) -> f64 {
        self.bad.iter().sum()
    }
}

fn decay(counts: &mut [f64; BUCKETS], keep: f64) {
    for count in counts {
        *count *= keep;
    }
}
