//! Statistics of one version.

use crate::confidence_model::{ConfidenceModel, Fit, blend};
use crate::evidence::BUCKETS;
use crate::forecast::Curve;
use crate::histogram::{Bucket, ConfidenceHistogram};
use crate::knowledge::{ClassIndex, ResponseKind};
use crate::meter::Mean;
use crate::response_stats::{ResponseStats, StepPosition};

/// The weight, in responses, of the fitted confidence distribution.
const FITTED_DISTRIBUTION_WEIGHT: f64 = 12.0;
/// The weight, in ratings per bucket, of the probability predicted by the model.
const PREDICTION_WEIGHT: f64 = 25.0;
/// The weight, in ratings, of the prior quality of a version.
const PRIOR_WEIGHT: f64 = 16.0;
/// The prior ratio of the fractions of bad responses at later steps and at the
/// first step of a cascade.
const LATER_STEP_BAD_RATIO: f64 = 1.8;

/// Statistics of one version.
#[derive(Clone, Debug)]
pub(crate) struct VersionStats {
    /// The rank of its price among all versions, from 0 (cheapest) to 1 (most
    /// expensive).
    pub(crate) price_rank: f64,
    /// Ratings over all classes and cascade positions.
    pub(crate) all_ratings: ConfidenceHistogram,
    pub(crate) model: ConfidenceModel,
    /// Seconds per token.
    pub(crate) token_time: Mean,
    /// Statistics over all classes.
    pub(crate) overall: ResponseStats,
    pub(crate) classes: Vec<ResponseStats>,
}

impl VersionStats {
    pub(crate) fn new(model: ConfidenceModel) -> Self {
        Self {
            price_rank: 0.0,
            all_ratings: ConfidenceHistogram::default(),
            model,
            token_time: Mean::default(),
            overall: ResponseStats::default(),
            classes: Vec::new(),
        }
    }

    pub(crate) fn class_mut(&mut self, class: ClassIndex) -> &mut ResponseStats {
        if self.classes.len() <= class.0 {
            self.classes
                .resize_with(class.0 + 1, ResponseStats::default);
        }
        &mut self.classes[class.0]
    }

    /// Returns the distribution of responses of this kind over the confidence buckets.
    pub(crate) fn confidence_distribution(&self, kind: ResponseKind) -> [f64; BUCKETS] {
        let fitted = self.model.distribution(self.cached_fit(kind).share);
        match self.classes.get(kind.class.0) {
            Some(it) => blend(
                &it.step(kind.position).histogram.answered,
                &fitted,
                FITTED_DISTRIBUTION_WEIGHT,
            ),
            None => fitted,
        }
    }

    /// Returns the estimated fraction of good responses and its weight: the cached fit,
    /// or the prior if there is none or it was discarded.
    pub(crate) fn cached_fit(&self, kind: ResponseKind) -> Fit {
        match self.classes.get(kind.class.0) {
            Some(it) => it
                .step(kind.position)
                .cached_fit(self.class_prior(it, kind.position)),
            None => self.prior(kind.position),
        }
    }

    /// Returns the prior quality, which increases with the price.
    fn prior(&self, position: StepPosition) -> Fit {
        let first = Fit {
            share: 0.8 + 0.15 * self.price_rank,
            weight: PRIOR_WEIGHT,
        };
        match position {
            StepPosition::First => first,
            StepPosition::Later => later_step_prior(first),
        }
    }

    /// Returns the prior quality in a class. That of later steps is derived from the
    /// estimate for the first step.
    fn class_prior(&self, stats: &ResponseStats, position: StepPosition) -> Fit {
        let first = self.prior(StepPosition::First);
        match position {
            StepPosition::First => first,
            StepPosition::Later => later_step_prior(stats.first.cached_fit(first)),
        }
    }

    /// Computes, for each threshold, the fraction of responses that passes, the fraction
    /// that passes and is good, and the variance of the latter.
    pub(crate) fn curve(&mut self, class: ClassIndex, position: StepPosition) -> Curve {
        let model = self.model;
        let prior = self.class_prior(&self.classes[class.0], position);
        let step = self.classes[class.0].step_mut(position);
        let fit = step.fit(&model, prior);
        let histogram = step.histogram;
        let distribution = blend(
            &histogram.answered,
            &model.distribution(fit.share),
            FITTED_DISTRIBUTION_WEIGHT,
        );
        let mut curve = Curve::default();
        for bucket in Bucket::all().rev() {
            let at = bucket.index();
            let (good, bad) = (histogram.good[at], histogram.bad[at]);
            let weighted_good =
                PREDICTION_WEIGHT * model.chance(fit.share, at) + model.truly_good(good, bad);
            let chance = weighted_good / (PREDICTION_WEIGHT + good + bad);
            curve.pass[at] = curve.pass[at + 1] + distribution[at];
            curve.good[at] = curve.good[at + 1] + distribution[at] * chance;
            let pass = curve.pass[at].max(1e-9);
            let passing = Fit {
                share: curve.good[at] / pass,
                weight: fit.weight * pass,
            };
            curve.variance[at] = pass * pass * passing.variance();
        }
        curve
    }
}

/// Returns the prior quality of later steps, given that of the first step.
fn later_step_prior(first: Fit) -> Fit {
    Fit {
        share: (1.0 - LATER_STEP_BAD_RATIO * (1.0 - first.share)).max(0.05),
        weight: PRIOR_WEIGHT,
    }
}
