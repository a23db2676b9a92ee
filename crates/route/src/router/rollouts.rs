//! Roll-outs of releases.

use std::collections::HashMap;
use std::time::Duration;

use kernel::{HostName, ServiceName, hash};

use super::{Router, SESSION_GAP_MARGIN};
use crate::Rollout;
use crate::call::{Call, ReleaseAssignment};
use crate::rollout::{self, Order, Scope};

/// The changes made by another host's update on roll-outs.
#[derive(Clone, Debug, Default)]
pub struct RolloutChanges {
    /// Orders that were unknown before.
    pub new_orders: Vec<Order>,
    /// Roll-outs whose verdict changed.
    pub decided: Vec<Rollout>,
    /// Whether to forward the changes to neighbours immediately.
    pub is_news: bool,
}

/// The maximum number of previous orders kept per service.
const MAX_PREVIOUS_ORDERS: usize = 8;

/// Returns whether an order is a previous one that reappeared because the store was restored
/// from an older copy, which lacks the order that replaced it.
fn is_restored(previous_orders: &HashMap<ServiceName, Vec<Order>>, order: &Order) -> bool {
    let previous_orders = previous_orders
        .get(&order.service)
        .map_or(&[][..], Vec::as_slice);
    previous_orders.iter().any(|it| {
        let is_same = it.release == order.release && it.revision.version == order.revision.version;
        is_same && it.revision.era < order.revision.era
    })
}

impl Router {
    /// Applies an operator's order and returns whether it starts a roll-out. Ignores orders that
    /// aren't newer than the current one, and previous orders that a restored store repeats. If the
    /// store lost the current order and it was written again, only its revision is updated.
    pub fn apply_order(&mut self, order: Order, started: Duration) -> bool {
        if let Some(known) = self.rollouts.get_mut(&order.service) {
            let is_not_newer = known.order.revision >= order.revision;
            if is_not_newer
                || is_restored(&self.previous_orders, &order)
                || known.adopt_rewritten(&order)
            {
                return false;
            }
            let previous_orders = self
                .previous_orders
                .entry(order.service.clone())
                .or_default();
            previous_orders.truncate(MAX_PREVIOUS_ORDERS - 1);
            previous_orders.insert(0, known.order.clone());
        }
        let exposure = self.settings.exposure_share;
        let service = order.service.clone();
        let rollout = Rollout::new(order, started, exposure, self.live_hosts());
        self.rollouts.insert(service, rollout);
        true
    }

    /// Returns this host's updates on roll-outs for other hosts.
    pub fn rollout_updates(&mut self, now: Duration, scope: Scope) -> Vec<rollout::Update> {
        let gap = self.settings.session_gap + SESSION_GAP_MARGIN;
        let mut updates = Vec::with_capacity(self.rollouts.len());
        for rollout in self.rollouts.values_mut() {
            let pinned_sessions: Vec<u64> = self
                .sessions
                .on_other_releases(now, &rollout.order.release, gap)
                .map(|it| hash::of(it.as_str()))
                .filter(|&it| rollout.is_drawn_for_trial(it))
                .collect();
            updates.push(rollout.build_update(now, pinned_sessions.into_iter(), scope));
        }
        updates
    }

    /// Applies another host's updates on roll-outs and returns what changed.
    pub fn apply_rollout_updates(
        &mut self,
        now: Duration,
        host: &HostName,
        updates: Vec<rollout::Update>,
    ) -> RolloutChanges {
        let mut changed = RolloutChanges::default();
        for it in updates {
            let started = now.saturating_sub(it.elapsed);
            if self.apply_order(it.order.clone(), started) {
                changed.new_orders.push(it.order.clone());
                changed.is_news = true;
            }
            if let Some(rollout) = self.rollouts.get_mut(&it.order.service)
                && rollout.order.revision == it.order.revision
            {
                let before = rollout.verdict;
                changed.is_news |= rollout.apply_update(now, host, &it);
                if rollout.verdict != before {
                    changed.decided.push(rollout.clone());
                }
            }
        }
        changed
    }

    /// Returns the roll-outs, at most one per service.
    pub fn rollouts(&mut self) -> impl Iterator<Item = &mut Rollout> {
        self.rollouts.values_mut()
    }

    /// Returns the roll-out of a service.
    pub fn rollout(&mut self, service: &ServiceName) -> Option<&mut Rollout> {
        self.rollouts.get_mut(service)
    }

    /// Assigns a new request to a release if its service has a roll-out.
    pub(super) fn assign_release(
        &self,
        now: Duration,
        call: &Call,
        number: u64,
    ) -> Option<ReleaseAssignment> {
        let rollout = self.rollouts.get(&call.service)?;
        let gap = self.settings.session_gap + SESSION_GAP_MARGIN;
        let session = call.profile.session.as_ref();
        let release = session.and_then(|it| self.sessions.release(now, it, gap));
        let side = match release {
            Some(release) => rollout.side_for_known_session(now, release, number),
            None => rollout.side_for_new_session(now, number),
        };
        Some(ReleaseAssignment {
            side,
            revision: rollout.initial_revision(),
        })
    }
}
