use std::{collections::BTreeMap, rc::Rc, time::Duration};

use crate::{
    arrival::Arrival,
    coin::{Coin, Purpose},
    configuration::{Configuration, State},
    plan::{Choice, Node, Plan, Problem, bin},
    scenario::Manner,
    truth::{Truth, VersionIdx},
    workload::{Call, ClassIdx},
};

/// Number of equal steps into which the share of bad responses is quantized.
const DAMAGE_STEPS: u32 = 25;

/// Maximum versions that the oracle tries for a request.
const DEPTH: usize = 3;

/// Computes plans from the true distributions and caches them.
pub(crate) struct Oracle<'a> {
    truth: Truth<'a>,
    plans: BTreeMap<Circumstance, Rc<Guide>>,
}

/// The cache key of a plan: all that the plan depends on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Circumstance {
    class: ClassIdx,
    /// Indexed by version: the share of bad responses in steps, whether they have the confidence of
    /// good responses, and whether the version is active.
    versions: [(u32, bool, bool); 4],
}

/// A plan with the versions of its choices.
#[derive(Debug)]
pub(crate) struct Guide {
    plan: Plan,
    versions: Vec<VersionIdx>,
}

/// The next step of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Next {
    Ask(VersionIdx),
    /// Delivers the response at this position, in the order of trying.
    Deliver(usize),
}

impl<'a> Oracle<'a> {
    pub(crate) fn new(truth: Truth<'a>) -> Self {
        Self {
            truth,
            plans: BTreeMap::new(),
        }
    }

    /// Returns the plan for a request that arrives at `now`.
    pub(crate) fn guide(
        &mut self,
        now: Duration,
        arrival: &Arrival,
        configuration: &Configuration,
    ) -> Rc<Guide> {
        let versions = VersionIdx::ALL.map(|it| {
            let damage = self.truth.damage(it, now);
            let steps = (0..DAMAGE_STEPS)
                .take_while(|it| f64::from(*it) / f64::from(DAMAGE_STEPS) < damage.share)
                .count();
            (
                u32::try_from(steps).unwrap_or(0),
                damage.manner == Manner::Confident,
                configuration.states[it.idx()] == State::Active,
            )
        });
        let key = Circumstance {
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

impl Circumstance {
    fn solve(&self, truth: &Truth<'_>) -> Guide {
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
                let share = f64::from(steps) / f64::from(DAMAGE_STEPS);
                let skill = version.skill(self.class);
                let bad = 1.0 - mean(skill.damaged(share).easy, skill.damaged(share).hard, *hard);
                let by_fault = share * mean(skill.easy, skill.hard, *hard);
                let hidden = if disguised { by_fault / bad } else { 0.0 };
                let cost = version.cost(prompt.mean(), completion.mean()).0;
                Choice::from_skill(
                    money(cost),
                    skill.damaged(share),
                    version.confidence,
                    hidden,
                )
            })
            .collect();
        // A request that isn't idempotent can't be sent to a second version.
        let problem = Problem {
            hard: *hard,
            depth: if class.idempotent { DEPTH } else { 1 },
            follow: f64::from(turns.low + turns.high) / 2.0 - 1.0,
            choices,
        };
        Guide {
            plan: Plan::solve(&problem, *target),
            versions,
        }
    }
}

impl Guide {
    /// Returns the next step, given the confidences of the responses so far.
    pub(crate) fn next(&self, coin: Coin, arrival: &Arrival, seen: &[f64]) -> Next {
        // All turns of a session follow the same one of the two plans.
        let whose = arrival.session.unwrap_or(arrival.idx);
        let second = coin.toss(Purpose::Plan, whose, 0) < self.plan.mix;
        let mut node = &self.plan.nodes[usize::from(second)];
        for confidence in seen {
            match node {
                Node::Deliver(place) => return Next::Deliver(*place),
                Node::Ask { then, .. } => node = &then[bin(*confidence)],
            }
        }
        match node {
            Node::Deliver(place) => Next::Deliver(*place),
            Node::Ask { choice, .. } => Next::Ask(self.versions[*choice]),
        }
    }
}

fn mean(easy: f64, hard: f64, share: f64) -> f64 {
    easy * (1.0 - share) + hard * share
}

fn money(microcents: u64) -> f64 {
    f64::from(u32::try_from(microcents).unwrap_or(u32::MAX))
}
