//! Periodic work.

use std::time::Duration;

use super::Decider;
use crate::attempt::{self, Progress};
use crate::demand::{Demand, Rate};
use crate::directory::{SelectionCriteria, Target};
use crate::pool::Pool;
use crate::refusal::Reason;
use crate::{Action, key, request};

/// Interval at which demand is published and roll-outs are checked.
const PERIODIC_INTERVAL: Duration = Duration::from_secs(1);

impl Decider {
    pub(super) fn tick(&mut self, now: Duration, actions: &mut Vec<Action>) {
        if let Some(evidence) = self.outbox.take_due(now) {
            actions.push(Action::Publish(evidence));
        }
        self.settle_cut_responses(now, actions);
        self.share_limits(now);
        self.refuse_late(now, actions);
        for target in self.pools.queued_targets() {
            self.drain(now, target, actions);
        }
        self.hedge(now, actions);
        if now >= self.next_periodic {
            self.next_periodic = now + PERIODIC_INTERVAL;
            self.publish_demand(now, actions);
            self.step_rollouts(now, actions);
        }
    }

    fn share_limits(&mut self, now: Duration) {
        self.peers.update_totals(now);
        let live = f64::from(self.live_hosts);
        for (at, limits) in self.limiters.iter_mut().enumerate() {
            let elsewhere = self.peers.total(key::Customer::at(at));
            limits.chat.update_share(now, live, elsewhere.chat);
            limits.calls.update_share(now, live, elsewhere.calls);
        }
    }

    /// Gives up queued requests with at most half the expected latency left, so that their callers
    /// learn of it before the deadline. Lets the other queued requests use the endpoint that they
    /// avoided.
    fn refuse_late(&mut self, now: Duration, actions: &mut Vec<Action>) {
        let mut late = Vec::new();
        for target in self.pools.queued_targets() {
            let Some(pool) = self.pools.get(target) else {
                continue;
            };
            for key in pool.queue.iter() {
                if self.is_late(now, key, target) {
                    late.push(key);
                } else if let Some(request) = self.requests.get_mut(key) {
                    request.avoided_replica = None;
                }
            }
        }
        for key in late {
            self.give_up(now, key, Reason::Deadline, None, actions);
        }
    }

    fn is_late(&self, now: Duration, key: request::Key, target: Target) -> bool {
        let needed = self.expected_latency(key, target) / 2;
        let request = self.requests.get(key);
        request.is_some_and(|it| now + needed >= it.deadline)
    }

    /// Hedges urgent idempotent requests: sends a second attempt to another endpoint if the first
    /// byte takes unusually long and the retry budget permits it.
    fn hedge(&mut self, now: Duration, actions: &mut Vec<Action>) {
        let mut hedgeable = std::mem::take(&mut self.hedgeable);
        hedgeable.retain(|key| self.try_hedge(now, *key, actions));
        hedgeable.append(&mut self.hedgeable);
        self.hedgeable = hedgeable;
    }

    /// Hedges the attempt if it is due, and returns whether to check it again later.
    fn try_hedge(&mut self, now: Duration, key: attempt::Key, actions: &mut Vec<Action>) -> bool {
        let Some(attempt) = self.attempts.get(key).copied() else {
            return false;
        };
        if attempt.progress != Progress::Sent {
            return false;
        }
        let pool = self.pools.get(attempt.target);
        let Some(after) = pool.and_then(Pool::hedge_after) else {
            return true;
        };
        if now < attempt.sent_at + after {
            return true;
        }
        let Some(request) = self.requests.get_mut(attempt.request) else {
            return false;
        };
        let single = request.in_flight.iter().flatten().count() == 1;
        if !single || request.attempts >= self.tuning.max_attempts {
            return false;
        }
        request.avoided_replica = Some(attempt.replica);
        let criteria = SelectionCriteria {
            target: attempt.target,
            priority: request.priority,
            prefix: 0,
            avoid: Some(attempt.replica),
        };
        let same = |next: super::place::NextStep| next.target == attempt.target;
        if !self
            .next_step(now, attempt.request, actions)
            .is_ok_and(same)
        {
            return false;
        }
        let Some(replica) = self.directory.choose(now, &criteria, &mut self.rng) else {
            return true;
        };
        if !self.retries.take(1.0) {
            return true;
        }
        let next = super::place::NextStep {
            target: attempt.target,
            step: attempt.step,
        };
        self.dispatch(now, attempt.request, next, replica, actions);
        false
    }

    fn publish_demand(&mut self, now: Duration, actions: &mut Vec<Action>) {
        if self.live_hosts < 2 {
            return;
        }
        let customers = self.policy.customers.iter().zip(&self.limiters);
        let rates = customers.map(|(customer, limits)| Rate {
            customer: customer.name.clone(),
            chat: limits.chat.flow(now),
            calls: limits.calls.flow(now),
        });
        // Customers without traffic at this host are left out of the message.
        let busy = rates.filter(|it| !it.chat.is_idle() || !it.calls.is_idle());
        actions.push(Action::Demand(Demand {
            host: self.tuning.host.clone(),
            rates: busy.collect(),
        }));
    }

    fn step_rollouts(&mut self, now: Duration, actions: &mut Vec<Action>) {
        for controller in &mut self.rollout_controllers {
            let step = controller.due_step(now, &self.policy, &self.health, &self.knowledge);
            actions.extend(step.map(Action::Step));
        }
    }
}
