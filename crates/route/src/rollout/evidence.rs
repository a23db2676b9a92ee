//! How releases answered.

use serde::{Deserialize, Serialize};

use super::Drift;

/// How the two releases answered one host.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Evidence {
    /// The new release.
    pub new: Tally,
    /// The old one.
    pub old: Tally,
    /// The new one, of endpoints with most of their places taken.
    pub crowded: Tally,
    /// How much longer the new one's streams take to begin.
    pub first: Drift,
    /// How much longer its whole answers take to begin.
    pub whole: Drift,
    /// How much longer they take from one event to the next.
    pub step: Drift,
}

impl Evidence {
    /// Adds what others have seen.
    pub(super) fn add(&mut self, other: &Self) {
        self.new.add(other.new);
        self.old.add(other.old);
        self.crowded.add(other.crowded);
        self.first.join(other.first);
        self.whole.join(other.whole);
        self.step.join(other.step);
    }

    /// How many answers it is about.
    pub(super) fn answers(&self) -> u32 {
        self.new.answers.saturating_add(self.old.answers)
    }
}

/// How a release answered.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Tally {
    /// All answers.
    pub answers: u32,
    /// Those that failed.
    pub bad: u32,
}

impl Tally {
    pub(super) fn bad_share(self) -> f64 {
        f64::from(self.bad) / f64::from(self.answers.max(1))
    }

    /// The share of bad answers that it has at least, by two and a half standard errors:
    /// services fail some of their requests anyway, up to one in seven was
    /// seen, and a few more in the first dozen prove nothing.
    pub(super) fn least_bad_share(self) -> f64 {
        const SURE: f64 = 2.5;
        let share = self.bad_share();
        let error = (share * (1.0 - share) / f64::from(self.answers.max(1))).sqrt();
        share - SURE * error
    }

    pub(super) fn add(&mut self, other: Self) {
        self.answers = self.answers.saturating_add(other.answers);
        self.bad = self.bad.saturating_add(other.bad);
    }
}
