use super::{BINS, upper};
use crate::truth::{Confidence, Skill};

/// The versions among which a plan chooses, for one class.
#[derive(Clone, Debug)]
pub struct Problem {
    /// The share of requests that are hard.
    pub hard: f64,
    /// The most versions asked for one request.
    pub depth: usize,
    /// The mean number of turns that follow and are answered by the version of
    /// the first answer, without any check.
    pub follow: f64,
    /// What may be asked.
    pub choices: Vec<Choice>,
}

/// A version as the plan sees it.
#[derive(Clone, Debug)]
pub struct Choice {
    /// The mean cost of an answer.
    pub cost: f64,
    /// The chance of a good answer, to easy and to hard requests.
    pub good: [f64; 2],
    /// The chance of each confidence step, for bad and for good answers.
    pub(crate) steps: Vec<[f64; 2]>,
}

impl Problem {
    /// The chance of a good answer where nothing is known of the request.
    pub(crate) fn quality(&self, choice: usize) -> f64 {
        let [easy, hard] = self.choices[choice].good;
        easy * (1.0 - self.hard) + hard * self.hard
    }
}

impl Choice {
    /// A version whose confidence has this sharpness; see `docs/design/experiment.md`.
    #[must_use]
    pub fn new(cost: f64, good: [f64; 2], sharpness: f64) -> Self {
        Self::mixed(cost, good, Confidence { sharpness }, 0.0)
    }

    /// A version of which a share of the bad answers looks like good ones.
    pub(crate) fn mixed(cost: f64, good: [f64; 2], confidence: Confidence, disguised: f64) -> Self {
        let steps = (0..BINS)
            .map(|bin| {
                let low = f64::from(bin) / f64::from(BINS);
                let [bad, good] = [false, true].map(|it| {
                    confidence.cumulative(it, upper(bin)) - confidence.cumulative(it, low)
                });
                [bad * (1.0 - disguised) + good * disguised, good]
            })
            .collect();
        Self { cost, good, steps }
    }

    pub(crate) fn from_skill(
        cost: f64,
        skill: Skill,
        confidence: Confidence,
        disguised: f64,
    ) -> Self {
        Self::mixed(cost, [skill.easy, skill.hard], confidence, disguised)
    }
}
