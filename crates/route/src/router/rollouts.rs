//! Roll-outs of releases.

use std::mem;
use std::time::Duration;

use kernel::{HostName, Release, ServiceName, hash};

use super::{Router, SESSION_GAP_MARGIN};
use crate::call::{Call, ReleaseAssignment};
use crate::rollout::{self, History, Order, Replaced, Scope, Verdict};
use crate::{Revision, Rollout};

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

impl Router {
    /// Applies an operator's order and returns whether it starts a roll-out. Ignores orders that
    /// aren't newer than the current one, and previous orders that a restored store repeats. If the
    /// store lost the current order and it was written again, only its revision is updated.
    pub fn apply_order(&mut self, order: Order, started: Duration) -> bool {
        let mut history = History::default();
        if let Some(known) = self.rollouts.get_mut(&order.service) {
            let is_not_newer = known.order.revision >= order.revision;
            if is_not_newer || known.history.has_restored(&order) || known.adopt_rewritten(&order) {
                return false;
            }
            history = mem::take(&mut known.history);
            history.add(Replaced::of(&known.order, known.verdict));
        }
        let exposure = self.settings.exposure_share;
        let service = order.service.clone();
        let mut rollout = Rollout::new(order, started, exposure, self.live_hosts());
        rollout.history = history;
        if let Some((read_at, record)) = self.rollout_records.get(&service) {
            rollout.apply_record(*read_at, record);
        }
        self.rollouts.insert(service, rollout);
        true
    }

    /// Applies the store's records of roll-outs, which were read at `read_at`, to those that are
    /// known and those whose orders are still to be read.
    pub fn load_rollout_records(&mut self, read_at: Duration, records: Vec<rollout::Record>) {
        for record in records {
            if let Some(rollout) = self.rollouts.get_mut(&record.service) {
                rollout.apply_record(read_at, &record);
            }
            let service = record.service.clone();
            self.rollout_records.insert(service, (read_at, record));
        }
    }

    /// Applies a verdict that the store has for the roll-out of a release, written at `written` if
    /// that is known. Returns the roll-out if its verdict changed.
    pub fn apply_verdict(
        &mut self,
        service: &ServiceName,
        release: &Release,
        verdict: Verdict,
        written: Option<Revision>,
    ) -> Option<&Rollout> {
        let rollout = self.rollouts.get_mut(service)?;
        if let Some(written) = written {
            rollout.history.record_verdict(release, verdict, written);
        }
        // A verdict that is older than the order is that of an earlier roll-out of the release.
        let is_current = rollout.order.release == *release
            && written.is_none_or(|it| it > rollout.order.revision);
        if !is_current || verdict == Verdict::Running || verdict == rollout.verdict {
            return None;
        }
        rollout.verdict = verdict;
        Some(rollout)
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
            let Some(rollout) = self.rollouts.get_mut(&it.order.service) else {
                continue;
            };
            for replaced in it.replaced.iter().cloned() {
                changed.is_news |= rollout.history.add(replaced);
            }
            if it.order.revision < rollout.order.revision {
                // The sender doesn't know the current order yet, but maybe how the last one ended.
                changed.is_news |= rollout.history.add(Replaced::of(&it.order, it.verdict));
            }
            if rollout.order.revision == it.order.revision {
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
