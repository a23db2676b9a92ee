//! Steps of roll-outs.

use config::{Change, ChangeMode, Edit, Rollout, RolloutState};
use decide::action::Step;
use kernel::{ChangeId, VersionId};

use super::Actor;
use crate::event::Event;
use crate::service::configure;

/// Tolerance for the comparison of shares, which are decimal fractions written by operators.
const SHARE_TOLERANCE: f64 = 1e-9;

impl Actor {
    /// Makes a step if this host holds the lease and the step still applies.
    pub(super) async fn step(&mut self, version: &VersionId, step: &Step) {
        if !self.orders_lease.holds(&self.cx) {
            return;
        }
        let snapshot = self.cx.host.current_config.get();
        let Some(rollout) = snapshot.document.rollouts.get(version) else {
            return;
        };
        let Some(next) = next(rollout, step) else {
            return;
        };
        // The id is derived from the step alone. If a frozen holder that lost its lease and its
        // successor both make the step, the table accepts only one of the changes.
        let id = format!("step-{version}-{}-{}", rollout.step_revision, next.step);
        let id = match next.state {
            RolloutState::Running | RolloutState::Paused => id,
            state => format!("{id}-{state}"),
        };
        let change = Change {
            id: ChangeId::from(id),
            base: rollout.changed,
            author: format!("roll-out on {}", self.cx.host.settings.host.name),
            mode: ChangeMode::Guarded,
            edit: Edit::PutRollout(version.clone(), next.clone()),
        };
        // A step that fails is requested again by the decider.
        if configure::commit(&self.cx, &change).await.is_ok() {
            let event = match next.state {
                RolloutState::Running | RolloutState::Paused => Event::RolloutStep,
                RolloutState::Aborted | RolloutState::Done => Event::RolloutEnded,
            };
            let fields: &[crate::log::Field<'_>] = &[
                ("version", version),
                ("step", &next.step),
                ("state", &next.state),
            ];
            self.cx.host.log.emit(event, fields);
        }
    }
}

/// Returns the roll-out after the step, or `None` if the roll-out isn't at the step's start, or
/// isn't running and the step doesn't abort it.
fn next(rollout: &Rollout, step: &Step) -> Option<Rollout> {
    if (rollout.share() - step.from).abs() > SHARE_TOLERANCE {
        return None;
    }
    let mut next = rollout.clone();
    if step.to <= 0.0 {
        next.state = RolloutState::Aborted;
        return Some(next);
    }
    if rollout.state != RolloutState::Running {
        return None;
    }
    if step.to < step.from {
        match rollout.step.checked_sub(1) {
            Some(back) => next.step = back,
            None => next.state = RolloutState::Aborted,
        }
        return Some(next);
    }
    if rollout.step + 1 < rollout.steps.len() {
        next.step += 1;
    } else {
        next.state = RolloutState::Done;
    }
    Some(next)
}
