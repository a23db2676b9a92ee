//! What has been seen of one version in one class.

use crate::meter::Mean;
use crate::shape::{Fit, Shape};
use crate::tally::{Bucket, Tally};

/// Answers between two fits.
const FIT_EVERY: u32 = 16;

/// What has been seen of one version in one class, by turn: those that come
/// after another version's answer was rejected are to the harder requests.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Belief {
    pub(crate) first: View,
    pub(crate) later: View,
    /// Completion tokens an answer.
    pub(crate) completion: Mean,
    /// Seconds an answer takes.
    pub(crate) latency: Mean,
}

/// What has been seen of the answers of one turn, and what follows from it.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct View {
    pub(crate) tally: Tally,
    fit: Option<Fit>,
    since: u32,
}

/// Whether an answer came first or after another was rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Turn {
    First,
    Later,
}

impl Belief {
    pub(crate) fn view(&self, turn: Turn) -> &View {
        match turn {
            Turn::First => &self.first,
            Turn::Later => &self.later,
        }
    }

    pub(crate) fn view_mut(&mut self, turn: Turn) -> &mut View {
        match turn {
            Turn::First => &mut self.first,
            Turn::Later => &mut self.later,
        }
    }

    /// Tokens and seconds of an answer.
    pub(crate) fn measured(&mut self, completion: f64, seconds: f64) {
        self.completion.add(completion);
        self.latency.add(seconds);
    }
}

impl View {
    pub(crate) fn answered(&mut self, bucket: Bucket, count: f64) {
        self.tally.answered(bucket, count);
        self.since += 1;
        if self.since >= FIT_EVERY {
            self.fit = None;
        }
    }

    pub(crate) fn rated(&mut self, bucket: Bucket, good: f64, bad: f64) {
        self.tally.rated(bucket, good, bad);
        self.fit = None;
    }

    /// The share of good answers, fitted anew where enough has been seen since.
    pub(crate) fn fit(&mut self, shape: &Shape, prior: Fit) -> Fit {
        if let Some(fit) = self.fit {
            return fit;
        }
        let fit = shape.fit(&self.tally, prior);
        self.since = 0;
        self.fit = Some(fit);
        fit
    }

    /// The last fit, or the prior before there was any.
    pub(crate) fn known(&self, prior: Fit) -> Fit {
        self.fit.unwrap_or(prior)
    }
}
