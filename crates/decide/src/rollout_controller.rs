//! Decides the steps of a roll-out.

use std::sync::Arc;
use std::time::Duration;

use crate::action::Step;
use crate::health::Health;
use crate::knowledge::Knowledge;
use crate::monitor::Totals;
use crate::policy::{Rollout, RolloutMode, State};
use crate::{Policy, key};

/// The stages of a roll-out before the full share.
const STAGES: [Stage; 4] = [
    Stage {
        share: 0.01,
        min_responses: 20.0,
        min_ratings: 8.0,
    },
    Stage {
        share: 0.05,
        min_responses: 60.0,
        min_ratings: 20.0,
    },
    Stage {
        share: 0.2,
        min_responses: 150.0,
        min_ratings: 40.0,
    },
    Stage {
        share: 0.5,
        min_responses: 300.0,
        min_ratings: 80.0,
    },
];
/// Minimum time at a share before the next, so that slow failures are detected.
const MIN_STAGE_TIME: Duration = Duration::from_secs(30);
/// Interval at which a step is requested again until it is taken.
const REQUEST_INTERVAL: Duration = Duration::from_secs(5);
/// Maximum shortfall of a version's share of good responses below that of the version
/// that it replaces. Comparisons with it allow for the standard error.
const MAX_QUALITY_LOSS: f64 = 0.02;

/// The evidence required at a share before the next one.
#[derive(Clone, Copy, Debug)]
struct Stage {
    share: f64,
    min_responses: f64,
    min_ratings: f64,
}

/// This host's view of a roll-out. The persistent state is in the policy, so
/// that any host that holds the lease can take the next step.
#[derive(Clone, Debug)]
pub(crate) struct RolloutController {
    id: Arc<str>,
    version: key::Version,
    replaces: Option<key::Version>,
    mode: RolloutMode,
    share: Option<f64>,
    share_since: Duration,
    /// The totals when the current share was set.
    initial_totals: Totals,
    next_request: Duration,
}

impl RolloutController {
    /// Starts following a roll-out; `known` is the previous state of the same
    /// roll-out. Only responses and ratings since the last change of the share
    /// count towards a stage, but quality is compared over all ratings.
    pub(crate) fn new(
        now: Duration,
        policy: &Policy,
        rollout: &Rollout,
        totals: Totals,
        known: Option<&Self>,
    ) -> Self {
        let state = policy.versions.get(rollout.version.index());
        let share = state.and_then(|it| match it.state {
            State::Trial(share) => Some(share),
            State::Active | State::Withdrawn => None,
        });
        let same = known.filter(|it| it.share == share);
        Self {
            id: Arc::clone(&rollout.id),
            version: rollout.version,
            replaces: rollout.replaces,
            mode: rollout.mode,
            share,
            share_since: same.map_or(now, |it| it.share_since),
            initial_totals: same.map_or(totals, |it| it.initial_totals),
            next_request: same.map_or(now, |it| it.next_request),
        }
    }

    pub(crate) fn is_of(&self, rollout: &Rollout) -> bool {
        self.id == rollout.id
    }

    /// Returns the step that is due, if any.
    pub(crate) fn due_step(
        &mut self,
        now: Duration,
        policy: &Policy,
        health: &Health,
        knowledge: &Knowledge,
    ) -> Option<Step> {
        let from = self.share?;
        if now < self.next_request {
            return None;
        }
        let to = self.target_share(now, from, health, knowledge)?;
        self.next_request = now + REQUEST_INTERVAL;
        Some(Step {
            rollout: Arc::clone(&self.id),
            version: self.version,
            from,
            to,
            revision: policy.revision,
        })
    }

    /// Returns the share to move to, or `None` to stay at `from`.
    fn target_share(
        &self,
        now: Duration,
        from: f64,
        health: &Health,
        knowledge: &Knowledge,
    ) -> Option<f64> {
        let monitor = health.get(self.version)?;
        if from <= 0.0 {
            // Rolled back; only an operator can restart it.
            return None;
        }
        if monitor.is_quarantined() {
            return Some(0.0);
        }
        let seen = monitor.totals();
        let responses = seen.responses - self.initial_totals.responses;
        let ratings = seen.ratings - self.initial_totals.ratings;
        let compared = self.replaces.map(|it| knowledge.compare(self.version, it));
        if let Some(it) = compared
            && it.difference + 2.5 * it.error < -MAX_QUALITY_LOSS
        {
            return Some(previous_share(from));
        }
        let stage = STAGES.iter().rfind(|it| it.share <= from + 1e-9);
        let stage = stage.unwrap_or(&STAGES[0]);
        let enough = responses >= stage.min_responses
            && ratings >= stage.min_ratings
            && now.saturating_sub(self.share_since) >= MIN_STAGE_TIME;
        let as_good = compared.is_none_or(|it| it.difference + it.error >= -MAX_QUALITY_LOSS);
        let may_advance = !monitor.is_suspect() && self.mode == RolloutMode::Running;
        (enough && as_good && may_advance).then(|| next_share(from))
    }
}

/// The difference in quality between two versions, with its standard error.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Comparison {
    pub(crate) difference: f64,
    pub(crate) error: f64,
}

fn next_share(share: f64) -> f64 {
    let next = STAGES.iter().find(|it| it.share > share + 1e-9);
    next.map_or(1.0, |it| it.share)
}

fn previous_share(share: f64) -> f64 {
    let before = STAGES.iter().rfind(|it| it.share < share - 1e-9);
    before.map_or(0.0, |it| it.share)
}
