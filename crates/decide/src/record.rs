//! What has been seen of one version.

use crate::belief::{Belief, Turn};
use crate::evidence::BUCKETS;
use crate::forecast::Curve;
use crate::knowledge::{ClassIndex, Kind};
use crate::meter::Mean;
use crate::shape::{Fit, Shape, blend};
use crate::tally::{Bucket, Tally};

/// How many answers the fitted distribution of confidence is worth.
const SPREAD_WEIGHT: f64 = 12.0;
/// How many ratings in a bucket the shape's own prediction is worth.
const CURVE_WEIGHT: f64 = 25.0;
/// How many ratings the prior for a version is worth.
const PRIOR_WEIGHT: f64 = 16.0;
/// How much more often an answer is bad where another's was rejected, before
/// any answer tells.
const LATER_ODDS: f64 = 1.8;

/// What has been seen of one version.
#[derive(Clone, Debug)]
pub(crate) struct Record {
    /// Where its price stands among all: 0 is the cheapest, 1 the dearest.
    pub(crate) rank: f64,
    /// Over all classes and turns.
    pub(crate) all: Tally,
    pub(crate) shape: Shape,
    /// Seconds between two tokens.
    pub(crate) pace: Mean,
    pub(crate) overall: Belief,
    pub(crate) classes: Vec<Belief>,
}

impl Record {
    pub(crate) fn new(shape: Shape) -> Self {
        Self {
            rank: 0.0,
            all: Tally::default(),
            shape,
            pace: Mean::default(),
            overall: Belief::default(),
            classes: Vec::new(),
        }
    }

    pub(crate) fn class_mut(&mut self, class: ClassIndex) -> &mut Belief {
        if self.classes.len() <= class.0 {
            self.classes.resize_with(class.0 + 1, Belief::default);
        }
        &mut self.classes[class.0]
    }

    /// How the confidence of such answers spreads over the buckets.
    pub(crate) fn spread(&self, kind: Kind) -> [f64; BUCKETS] {
        let fitted = self.shape.spread(self.known(kind).share);
        match self.classes.get(kind.class.0) {
            Some(it) => blend(&it.view(kind.turn).tally.answered, &fitted, SPREAD_WEIGHT),
            None => fitted,
        }
    }

    /// The share of such answers that are good, by the last fit.
    pub(crate) fn known(&self, kind: Kind) -> Fit {
        match self.classes.get(kind.class.0) {
            Some(it) => it.view(kind.turn).known(self.prior_in(it, kind.turn)),
            None => self.prior(kind.turn),
        }
    }

    /// What is expected of it before it has been seen: the dearer the better.
    fn prior(&self, turn: Turn) -> Fit {
        let first = Fit {
            share: 0.8 + 0.15 * self.rank,
            weight: PRIOR_WEIGHT,
        };
        match turn {
            Turn::First => first,
            Turn::Later => later(first),
        }
    }

    /// The same with what its first turns in the class have shown.
    fn prior_in(&self, belief: &Belief, turn: Turn) -> Fit {
        let first = self.prior(Turn::First);
        match turn {
            Turn::First => first,
            Turn::Later => later(belief.first.known(first)),
        }
    }

    /// What passes each threshold.
    pub(crate) fn curve(&mut self, class: ClassIndex, turn: Turn) -> Curve {
        let shape = self.shape;
        let prior = self.prior_in(&self.classes[class.0], turn);
        let view = self.classes[class.0].view_mut(turn);
        let fit = view.fit(&shape, prior);
        let tally = view.tally;
        let spread = blend(&tally.answered, &shape.spread(fit.share), SPREAD_WEIGHT);
        let mut curve = Curve::default();
        for bucket in Bucket::all().rev() {
            let at = bucket.index();
            let (good, bad) = (tally.good[at], tally.bad[at]);
            let seen = CURVE_WEIGHT * shape.chance(fit.share, at) + shape.truly_good(good, bad);
            let chance = seen / (CURVE_WEIGHT + good + bad);
            curve.pass[at] = curve.pass[at + 1] + spread[at];
            curve.good[at] = curve.good[at + 1] + spread[at] * chance;
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

/// What is expected where another version's answer was rejected.
fn later(first: Fit) -> Fit {
    Fit {
        share: (1.0 - LATER_ODDS * (1.0 - first.share)).max(0.05),
        weight: PRIOR_WEIGHT,
    }
}
