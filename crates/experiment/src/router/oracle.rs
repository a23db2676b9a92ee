use std::{collections::BTreeMap, rc::Rc, time::Duration};

use crate::{
    arrival::Arrival,
    configuration::{Configuration, State},
    ground_truth::{GroundTruth, VersionIdx},
    keyed_rng::{KeyedRng, Purpose},
    plan::{Choice, Node, Plan, Problem, bin},
    scenario::FailureMode,
    workload::{Call, ClassIdx},
};

/// Number of equal steps into which the share of responses that a fault makes bad is quantized.
const DEGRADATION_STEPS: u32 = 25;

/// Maximum versions that the oracle tries for a request.
const MAX_DEPTH: usize = 3;

/// Computes plans from the true distributions and caches them.
pub(crate) struct Oracle<'a> {
    truth: GroundTruth<'a>,
    plans: BTreeMap<PlanKey, Rc<VersionPlan>>,
}

/// The cache key of a plan: all that the plan depends on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct PlanKey {
    class: ClassIdx,
    /// Indexed by version: the share of responses that a fault makes bad, rounded up to steps,
    /// whether they have the confidence of good responses, and whether the version is active.
    versions: [(u32, bool, bool); 4],
}

/// A plan with the versions of its choices.
#[derive(Debug)]
pub(crate) struct VersionPlan {
    plan: Plan,
    versions: Vec<VersionIdx>,
}

/// The next step of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum NextStep {
    Try(VersionIdx),
    /// Delivers the response at this position, in the order of trying.
    Deliver(usize),
}

impl<'a> Oracle<'a> {
    pub(crate) fn new(truth: GroundTruth<'a>) -> Self {
        Self {
            truth,
            plans: BTreeMap::new(),
        }
    }

    /// Returns the plan for a request that arrives at `now`.
    pub(crate) fn version_plan(
        &mut self,
        now: Duration,
        arrival: &Arrival,
        configuration: &Configuration,
    ) -> Rc<VersionPlan> {
        let versions = VersionIdx::ALL.map(|it| {
            let degradation = self.truth.degradation(it, now);
            let steps = (0..DEGRADATION_STEPS)
                .take_while(|it| f64::from(*it) / f64::from(DEGRADATION_STEPS) < degradation.share)
                .count();
            (
                u32::try_from(steps).unwrap_or(0),
                degradation.failure_mode == FailureMode::Confident,
                configuration.states[it.idx()] == State::Active,
            )
        });
        let key = PlanKey {
            class: arrival.class,
            versions,
        };
        let truth = self.truth;
        Rc::clone(
            self.plans
                .entry(key)
                .or_insert_with(|| Rc::new(key.solve(&truth))),
        )
    }
}

impl PlanKey {
    fn solve(&self, truth: &GroundTruth<'_>) -> VersionPlan {
        let class = truth.world.class(self.class);
        let Call::Model {
            target,
            hard,
            prompt,
            completion,
            turns,
            ..
        } = &class.call
        else {
            unreachable!("only model classes have plans");
        };
        let versions = VersionIdx::ALL
            .into_iter()
            .filter(|it| self.versions[it.idx()].2)
            .collect::<Vec<_>>();
        let choices = versions
            .iter()
            .map(|it| {
                let version = truth.world.version(*it);
                let (steps, disguised, _) = self.versions[it.idx()];
                let share = f64::from(steps) / f64::from(DEGRADATION_STEPS);
                let accuracy = version.accuracy(self.class);
                let bad = 1.0
                    - mean(
                        accuracy.degraded(share).easy,
                        accuracy.degraded(share).hard,
                        *hard,
                    );
                let by_fault = share * mean(accuracy.easy, accuracy.hard, *hard);
                let disguised_share = if disguised { by_fault / bad } else { 0.0 };
                let cost = version.cost(prompt.mean(), completion.mean()).0;
                Choice::from_accuracy(
                    money(cost),
                    accuracy.degraded(share),
                    version.confidence,
                    disguised_share,
                )
            })
            .collect();
        // A request that isn't idempotent can't be sent to a second version.
        let problem = Problem {
            hard: *hard,
            depth: if class.idempotent { MAX_DEPTH } else { 1 },
            following_turns: f64::from(turns.low + turns.high) / 2.0 - 1.0,
            choices,
        };
        VersionPlan {
            plan: Plan::solve(&problem, *target),
            versions,
        }
    }
}

impl VersionPlan {
    /// Returns the next step, given the confidences of the responses so far.
    pub(crate) fn next(&self, keyed_rng: KeyedRng, arrival: &Arrival, seen: &[f64]) -> NextStep {
        // All turns of a session follow the same one of the two plans.
        let draw_key = arrival.session.unwrap_or(arrival.idx);
        let second = keyed_rng.draw(Purpose::Plan, draw_key, 0) < self.plan.mix;
        let mut node = &self.plan.nodes[usize::from(second)];
        for confidence in seen {
            match node {
                Node::Deliver(position) => return NextStep::Deliver(*position),
                Node::Try { by_bin, .. } => node = &by_bin[bin(*confidence)],
            }
        }
        match node {
            Node::Deliver(position) => NextStep::Deliver(*position),
            Node::Try { choice, .. } => NextStep::Try(self.versions[*choice]),
        }
    }
}

fn mean(easy: f64, hard: f64, share: f64) -> f64 {
    easy * (1.0 - share) + hard * share
}

fn money(microcents: u64) -> f64 {
    f64::from(u32::try_from(microcents).unwrap_or(u32::MAX))
}
