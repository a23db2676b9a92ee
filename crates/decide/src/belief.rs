//! What has been seen of one version in one class.

use crate::evidence::BUCKETS;
use crate::meter::Mean;

/// The upper ends of the confidence buckets. They are finer at the top, where
/// engines that are mostly right spend their time.
const ENDS: [f64; BUCKETS - 1] = [0.3, 0.45, 0.58, 0.7, 0.8, 0.88, 0.95];
/// Ratings after which old ones are forgotten as fast as new ones come.
const RATING_MEMORY: f64 = 1500.0;
/// The same for answers.
const ANSWER_MEMORY: f64 = 3000.0;

/// The confidence bucket of an answer, the least confident first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Bucket(usize);

impl Bucket {
    /// All buckets, the least confident first.
    pub(crate) fn all() -> impl DoubleEndedIterator<Item = Self> {
        (0..BUCKETS).map(Self)
    }

    pub(crate) fn index(self) -> usize {
        self.0
    }

    /// Whether an answer in it passes a threshold; [`BUCKETS`] passes none.
    pub(crate) fn passes(self, threshold: usize) -> bool {
        self.0 >= threshold
    }

    /// A confidence inside it.
    pub(crate) fn middle(self) -> f64 {
        let low = if self.0 == 0 { 0.0 } else { ENDS[self.0 - 1] };
        let high = ENDS.get(self.0).copied().unwrap_or(1.0);
        f64::midpoint(low, high)
    }
}

impl From<f64> for Bucket {
    fn from(confidence: f64) -> Self {
        Self(ENDS.partition_point(|end| *end <= confidence))
    }
}

/// What has been seen of one version in one class, with old sightings forgotten.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Belief {
    /// Answers of first steps by confidence.
    pub(crate) answered: [f64; BUCKETS],
    /// Good ratings by confidence.
    pub(crate) good: [f64; BUCKETS],
    /// Bad ratings by confidence.
    pub(crate) bad: [f64; BUCKETS],
    /// Ratings of answers that came after another version's was rejected, which
    /// are those to the harder requests.
    pub(crate) later_good: f64,
    /// The bad ones of these.
    pub(crate) later_bad: f64,
    /// Completion tokens an answer.
    pub(crate) completion: Mean,
    /// Seconds an answer takes.
    pub(crate) latency: Mean,
}

/// Whether an answer came first or after another was rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Turn {
    First,
    Later,
}

impl Belief {
    pub(crate) fn answered(&mut self, bucket: Bucket, count: f64) {
        if self.answers() >= ANSWER_MEMORY {
            scale(&mut self.answered, 1.0 - count.min(100.0) / ANSWER_MEMORY);
        }
        self.answered[bucket.index()] += count;
    }

    /// Tokens and seconds of an answer.
    pub(crate) fn measured(&mut self, completion: f64, seconds: f64) {
        self.completion.add(completion);
        self.latency.add(seconds);
    }

    pub(crate) fn rated(&mut self, bucket: Bucket, turn: Turn, good: f64, bad: f64) {
        if self.ratings() >= RATING_MEMORY {
            let keep = 1.0 - (good + bad).min(100.0) / RATING_MEMORY;
            scale(&mut self.good, keep);
            scale(&mut self.bad, keep);
        }
        match turn {
            Turn::First => {
                self.good[bucket.index()] += good;
                self.bad[bucket.index()] += bad;
            }
            Turn::Later => {
                if self.later_good + self.later_bad >= RATING_MEMORY {
                    let keep = 1.0 - (good + bad).min(100.0) / RATING_MEMORY;
                    self.later_good *= keep;
                    self.later_bad *= keep;
                }
                self.later_good += good;
                self.later_bad += bad;
            }
        }
    }

    /// Answers of first steps, as far as they are remembered.
    pub(crate) fn answers(&self) -> f64 {
        self.answered.iter().sum()
    }

    /// Ratings of first steps, as far as they are remembered.
    pub(crate) fn ratings(&self) -> f64 {
        self.good.iter().sum::<f64>() + self.bad.iter().sum::<f64>()
    }
}

fn scale(counts: &mut [f64; BUCKETS], by: f64) {
    for count in counts {
        *count *= by;
    }
}
