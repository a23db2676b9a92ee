//! Statistics of the responses of one version, in one class or over all classes.

use crate::confidence_model::{ConfidenceModel, Fit};
use crate::histogram::{Bucket, ConfidenceHistogram};
use crate::meter::Mean;

/// The number of calls of [`StepStats::record_responses`] after which a fit is
/// discarded. A rating discards it at once.
const REFIT_INTERVAL: u32 = 16;

/// Statistics of the responses of one version, in one class or over all classes.
///
/// The positions of [`StepPosition`] are separate, because later steps mostly get the
/// harder requests, for which another version's response was rejected.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct ResponseStats {
    pub(crate) first: StepStats,
    pub(crate) later: StepStats,
    /// Completion tokens per response.
    pub(crate) completion: Mean,
    /// Seconds per response.
    pub(crate) latency: Mean,
}

/// Counts of responses and ratings at one cascade position, with the cached fit.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct StepStats {
    pub(crate) histogram: ConfidenceHistogram,
    fit: Option<Fit>,
    /// Calls of [`Self::record_responses`] since the last fit.
    updates_since_fit: u32,
}

/// The position of a response in a cascade: `Later` if another response to the request
/// was kept as fallback before. Probes and explorations always count as `First`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum StepPosition {
    First,
    Later,
}

impl ResponseStats {
    pub(crate) fn step(&self, position: StepPosition) -> &StepStats {
        match position {
            StepPosition::First => &self.first,
            StepPosition::Later => &self.later,
        }
    }

    pub(crate) fn step_mut(&mut self, position: StepPosition) -> &mut StepStats {
        match position {
            StepPosition::First => &mut self.first,
            StepPosition::Later => &mut self.later,
        }
    }

    /// Records the completion tokens and latency of a response.
    pub(crate) fn record_measurement(&mut self, completion: f64, seconds: f64) {
        self.completion.add(completion);
        self.latency.add(seconds);
    }
}

impl StepStats {
    pub(crate) fn record_responses(&mut self, bucket: Bucket, count: f64) {
        self.histogram.record_responses(bucket, count);
        self.updates_since_fit += 1;
        if self.updates_since_fit >= REFIT_INTERVAL {
            self.fit = None;
        }
    }

    pub(crate) fn record_ratings(&mut self, bucket: Bucket, good: f64, bad: f64) {
        self.histogram.record_ratings(bucket, good, bad);
        self.fit = None;
    }

    /// Returns the estimated fraction of good responses, refitting it if it
    /// was discarded.
    pub(crate) fn fit(&mut self, model: &ConfidenceModel, prior: Fit) -> Fit {
        if let Some(fit) = self.fit {
            return fit;
        }
        let fit = model.fit(&self.histogram, prior);
        self.updates_since_fit = 0;
        self.fit = Some(fit);
        fit
    }

    /// Returns the cached fit, or `prior` if there is none or it was discarded.
    pub(crate) fn cached_fit(&self, prior: Fit) -> Fit {
        self.fit.unwrap_or(prior)
    }
}
