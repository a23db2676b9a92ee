//! Which model answers.

use std::time::Duration;

/// The part of an answer's worth that is left when it comes late, and when it
/// is not good. Both are those of the deployments' price lists (0.29 to 0.31,
/// and 0.05).
const LATE: f64 = 0.3;
const POOR: f64 = 0.05;
/// How likely the largest model's answer is good.
const LARGEST: f64 = 0.97;
/// What a good answer is worth, in prices of the largest model's answer, by the
/// request's rank, the most urgent first; less urgent ones are as the last. From
/// the deployments' price lists (6.4 to 7.6 for the first two, 2.4 and 2.7 for
/// the third).
const WORTH: [f64; 3] = [7.0, 7.0, 2.5];
/// The price of the capacity that the largest model's answer takes from other
/// requests, in prices of that answer, while all places are taken. Trials at 0
/// and 5 are in `docs/design/deciding.md`; at 10, endpoints with few places kept
/// answers that were wrong while nothing was late.
const CROWDED: f64 = 5.0;
/// The opinion at which an answer is as likely good as not, and how far from it the
/// odds grow e-fold, both in hundredths. A model's opinion is rough: it tells on
/// which side of what it can do a request lies, and hardly by how much. Three in ten
/// of the smallest model's answers bear an opinion of 50 to 90; most of those were
/// asked again in vain when the opinion counted as the chance itself. Trials at 6 and
/// 10: `docs/design/deciding.md`.
const EVEN: f64 = 50.0;
const SPREAD: f64 = 6.0;

/// Which of a route's models answers a request, from the smallest to the largest.
///
/// The smallest is asked first, since its answer costs a fifteenth of the
/// largest's and its confidence comes with the first token, before the caller
/// has any of the answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Cascade {
    models: usize,
    current: usize,
}

/// What a decision about an unsure answer depends on.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Doubt {
    /// How sure the model is of its answer, from 0 to 100.
    pub confidence: u8,
    /// The request's rank, the most urgent 0.
    pub priority: u8,
    /// How long the caller has waited.
    pub waited: Duration,
    /// How long the largest model would take to begin.
    pub larger_takes: Duration,
    /// The time within which the answer has its full worth.
    pub aim: Duration,
    /// The part of the service's places that are taken.
    pub used: f64,
}

impl Cascade {
    /// A cascade over this many models.
    #[must_use]
    pub fn new(models: usize) -> Self {
        Self { models, current: 0 }
    }

    /// The model to ask, by its place among the route's.
    #[must_use]
    pub fn model(&self) -> Option<usize> {
        (self.models > 0).then_some(self.current)
    }

    /// Whether a larger model could be asked.
    #[must_use]
    pub fn has_larger(&self) -> bool {
        self.current + 1 < self.models
    }

    /// Goes on to the largest.
    pub fn escalate(&mut self) {
        self.current = self.models.saturating_sub(1);
    }
}

impl Doubt {
    /// Whether the largest model's answer is worth its price and the wait.
    #[must_use]
    pub fn is_worth_more(&self) -> bool {
        let sure = likely(self.confidence);
        let now = timely(self.waited, self.aim) * (sure + (1.0 - sure) * POOR);
        let then = timely(self.waited + self.larger_takes, self.aim) * LARGEST;
        let rank = usize::from(self.priority).min(WORTH.len() - 1);
        let price = 1.0 + CROWDED * self.used.clamp(0.0, 1.0);
        (then - now) * WORTH[rank] > price
    }
}

/// How likely an answer is good of which its model has this opinion.
fn likely(confidence: u8) -> f64 {
    let odds = ((f64::from(confidence) - EVEN) / SPREAD).exp();
    odds / (1.0 + odds)
}

/// The part of its worth that an answer keeps which is expected to begin after
/// this time: expectations are off by some fifth either way.
fn timely(after: Duration, aim: Duration) -> f64 {
    const OFF: f64 = 0.25;
    let late = (after.div_duration_f64(aim) - (1.0 - OFF)) / (2.0 * OFF);
    1.0 - (1.0 - LATE) * late.clamp(0.0, 1.0)
}
