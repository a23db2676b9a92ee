use super::{BINS, upper};
use crate::ground_truth::{Accuracy, ConfidenceDistribution};

/// The input of the solver: the versions among which a plan chooses, for one class.
#[derive(Clone, Debug)]
pub struct Problem {
    /// The share of requests that are hard.
    pub hard: f64,
    /// Maximum versions tried for a request: one to four. A higher number counts as four.
    pub depth: usize,
    /// The mean number of turns that follow in the session. They go to the version whose response
    /// was delivered, and their responses are always delivered.
    pub following_turns: f64,
    /// The versions that may be tried. At least one.
    pub choices: Vec<Choice>,
}

/// A version that a plan may try.
#[derive(Clone, Debug)]
pub struct Choice {
    /// The mean cost of a response.
    pub cost: f64,
    /// The probability of a good response to easy and to hard requests.
    pub good: [f64; 2],
    /// The probability of each confidence bin, for bad and for good responses.
    pub(crate) bins: Vec<[f64; 2]>,
}

impl Problem {
    /// Returns the probability of a good response over easy and hard requests.
    pub(crate) fn quality(&self, choice: usize) -> f64 {
        let [easy, hard] = self.choices[choice].good;
        easy * (1.0 - self.hard) + hard * self.hard
    }
}

impl Choice {
    /// Creates a choice whose confidence has this sharpness; see `docs/design/experiment.md`.
    #[must_use]
    pub fn new(cost: f64, good: [f64; 2], sharpness: f64) -> Self {
        Self::mixed(cost, good, ConfidenceDistribution { sharpness }, 0.0)
    }

    /// Creates a choice for which a share of the bad responses has the confidence of good ones.
    pub(crate) fn mixed(
        cost: f64,
        good: [f64; 2],
        confidence: ConfidenceDistribution,
        disguised: f64,
    ) -> Self {
        let bins = (0..BINS)
            .map(|bin| {
                let low = f64::from(bin) / f64::from(BINS);
                let [bad, good] = [false, true].map(|it| {
                    confidence.cumulative(it, upper(bin)) - confidence.cumulative(it, low)
                });
                [bad * (1.0 - disguised) + good * disguised, good]
            })
            .collect();
        Self { cost, good, bins }
    }

    pub(crate) fn from_accuracy(
        cost: f64,
        accuracy: Accuracy,
        confidence: ConfidenceDistribution,
        disguised: f64,
    ) -> Self {
        Self::mixed(cost, [accuracy.easy, accuracy.hard], confidence, disguised)
    }
}
