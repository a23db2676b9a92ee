//! How far the times of two releases are apart.

use serde::{Deserialize, Serialize};

/// Which time of an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(super) enum Pace {
    /// Until a stream begins.
    First,
    /// Until a whole answer does.
    Whole,
    /// From one event to the next.
    Step,
}

/// How far the times of the new release are from the old one's, as logarithms
/// of their ratios.
///
/// Times are heavy-tailed: one answer in ten of a sound release takes three
/// times the usual. Single slow answers therefore tell little, the mean of the
/// logarithms tells after a dozen.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Drift {
    count: u32,
    sum: f64,
    squares: f64,
}

impl Drift {
    /// Answers without which a drift isn't believed.
    const MIN: u32 = 10;
    /// Standard errors by which it must be sure.
    const SURE: f64 = 2.5;

    pub(super) fn add(&mut self, log: f64) {
        self.count += 1;
        self.sum += log;
        self.squares += log * log;
    }

    pub(super) fn join(&mut self, other: Self) {
        self.count = self.count.saturating_add(other.count);
        self.sum += other.sum;
        self.squares += other.squares;
    }

    /// Whether the new release takes surely more than `times` as long.
    pub(super) fn exceeds(&self, times: f64) -> bool {
        if self.count < Self::MIN {
            return false;
        }
        let count = f64::from(self.count);
        let mean = self.sum / count;
        let variance = (self.squares / count - mean * mean).max(0.0);
        mean - Self::SURE * (variance / count).sqrt() > times.ln()
    }
}

#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Mean {
    count: f64,
    pub(super) value: f64,
}

impl Mean {
    /// Answers of the old release without which nothing is set against them.
    const MIN: f64 = 8.0;
    /// How many answers the mean remembers.
    const MAX: f64 = 50.0;

    pub(super) fn add(&mut self, value: f64) {
        self.count = (self.count + 1.0).min(Self::MAX);
        self.value += (value - self.value) / self.count;
    }

    pub(super) fn is_known(&self) -> bool {
        self.count >= Self::MIN
    }
}
