//! Dispatch, queueing and completion of requests.

use std::time::Duration;

use super::Decider;
use crate::action::{Deliver, Dispatch, Relay};
use crate::arrival::Work;
use crate::attempt::{Attempt, Occupancy, Progress};
use crate::directory::{SelectionCriteria, Target};
use crate::plan::{Plan, Step};
use crate::policy::{Priority, RetryPolicy};
use crate::refusal::{Reason, Refusal};
use crate::{Action, attempt, replica, request};

/// The next step of a request, and the target that serves it.
#[derive(Clone, Copy, Debug)]
pub(super) struct NextStep {
    pub(super) target: Target,
    pub(super) step: Step,
}

impl Decider {
    /// Dispatches the request's current step. If it can't be sent now, skips the step if it is
    /// a probe, else queues the request; if it may not be queued, dispatches it to another version
    /// with capacity or gives it up.
    pub(super) fn place(&mut self, now: Duration, key: request::Key, actions: &mut Vec<Action>) {
        let next = match self.next_step(now, key, actions) {
            Ok(next) => next,
            Err(reason) => return self.give_up(now, key, reason, None, actions),
        };
        let Some(request) = self.requests.get(key) else {
            return;
        };
        let priority = request.priority;
        let pool = self.pools.get(next.target);
        let free = pool.is_some_and(|it| !it.queue.has_at_or_above(priority));
        if free && self.try_send(now, key, next, actions) {
            return;
        }
        if next.step.is_probe() {
            // A request doesn't wait for a probe.
            return self.skip_step(now, key, actions);
        }
        match self.check_wait(now, key, next) {
            Ok(()) => self.enqueue(key, next.target),
            Err(refused) => {
                if !self.spill(now, key, actions) {
                    self.give_up(now, key, refused.reason, refused.retry_after, actions);
                }
            }
        }
    }

    /// Continues with the next step.
    pub(super) fn skip_step(
        &mut self,
        now: Duration,
        key: request::Key,
        actions: &mut Vec<Action>,
    ) {
        if let Some(request) = self.requests.get_mut(key) {
            request.step += 1;
            self.place(now, key, actions);
        }
    }

    /// Dispatches requests queued for `target` until its endpoints have no more capacity.
    pub(super) fn drain(&mut self, now: Duration, target: Target, actions: &mut Vec<Action>) {
        while let Some(key) = self.pools.get(target).and_then(|it| it.queue.first()) {
            let next = self.next_step(now, key, actions);
            if let Ok(next) = next
                && next.target == target
            {
                if !self.try_send(now, key, next, actions) {
                    return;
                }
                continue;
            }
            self.dequeue(key);
            match next {
                Ok(_) => self.place(now, key, actions),
                Err(reason) => self.give_up(now, key, reason, None, actions),
            }
        }
    }

    /// Dispatches requests queued for any version or service of the endpoint.
    pub(super) fn drain_replica(
        &mut self,
        now: Duration,
        key: replica::Key,
        actions: &mut Vec<Action>,
    ) {
        let Some(it) = self.directory.get(key) else {
            return;
        };
        let versions = it.versions.iter().map(|it| Target::Version(*it));
        let service = it.service.iter().map(|it| Target::Service(*it));
        let mut targets: Vec<Target> = service
            .chain(versions)
            .filter(|it| self.pools.get(*it).is_some_and(|it| !it.queue.is_empty()))
            .collect();
        // The queues with the most urgent requests come first.
        targets.sort_by_key(|it| {
            let queue = self.pools.get(*it).map(|it| &it.queue);
            let ahead = |priority: &Priority| queue.is_some_and(|it| it.has_at_or_above(*priority));
            Priority::ALL.iter().position(ahead)
        });
        for target in targets {
            self.drain(now, target, actions);
        }
    }

    /// Dispatches the request if an endpoint has capacity, and returns whether it did.
    pub(super) fn try_send(
        &mut self,
        now: Duration,
        key: request::Key,
        next: NextStep,
        actions: &mut Vec<Action>,
    ) -> bool {
        let Some(request) = self.requests.get(key) else {
            return false;
        };
        if self.is_at_limit(next.target) {
            return false;
        }
        let criteria = SelectionCriteria {
            target: next.target,
            priority: request.priority,
            prefix: request.prefix(),
            avoid: request.avoided_replica,
        };
        let Some(replica) = self.directory.choose(now, &criteria, &mut self.rng) else {
            return false;
        };
        self.dequeue(key);
        self.dispatch(now, key, next, replica, actions);
        true
    }

    pub(super) fn dispatch(
        &mut self,
        now: Duration,
        key: request::Key,
        next: NextStep,
        replica: replica::Key,
        actions: &mut Vec<Action>,
    ) {
        self.charge(key, next.target);
        let timeout = self.timeout(now, key, next);
        let (Some(request), Some(endpoint)) =
            (self.requests.get_mut(key), self.directory.get_mut(replica))
        else {
            return;
        };
        let relay = if next.step.threshold == 0 {
            Relay::Now
        } else {
            Relay::AfterCheck
        };
        let occupancy = if endpoint.may_be_full(now) {
            Occupancy::MayBeFull
        } else {
            Occupancy::Free
        };
        endpoint.begin_attempt();
        let endpoint = endpoint.id;
        let id = self.attempts.next_id();
        let attempt = self.attempts.insert(Attempt {
            id,
            request: key,
            replica,
            target: next.target,
            step: next.step,
            relay,
            sent_at: now,
            timeout,
            progress: Progress::Sent,
            occupancy,
        });
        request.attempts += 1;
        request.add_attempt(attempt);
        let version = match next.target {
            Target::Version(version) => Some(version),
            Target::Service(_) => None,
        };
        actions.push(Action::Dispatch(Dispatch {
            request: request.id,
            attempt: id,
            endpoint,
            version,
            relay,
            timeout,
            revision: self.policy.revision,
            session: request.session,
            number: request.attempts,
            priority: request.priority,
        }));
        if request.priority == Priority::Urgent && request.retry_policy == RetryPolicy::Idempotent {
            self.hedgeable.push(attempt);
        }
        let prefix = request.prefix();
        self.directory.record_prefix(prefix, replica);
    }

    /// Completes the request with its fallback response, or with a refusal if it has none or if part
    /// of another response has been relayed.
    pub(super) fn give_up(
        &mut self,
        now: Duration,
        key: request::Key,
        reason: Reason,
        retry_after: Option<Duration>,
        actions: &mut Vec<Action>,
    ) {
        let Some(request) = self.requests.get(key) else {
            return;
        };
        if let Some(fallback) = request.fallback
            && !request.relayed
        {
            let deliver = Deliver {
                request: request.id,
                attempt: fallback.attempt,
                version: Some(fallback.version),
                cost: request.spent,
                attempts: request.attempts,
            };
            self.close(now, key, actions);
            return actions.push(Action::Deliver(deliver));
        }
        let refusal = Refusal {
            reason,
            run: request.run,
            retry_after,
        };
        let request = request.id;
        self.close(now, key, actions);
        actions.push(Action::Refuse { request, refusal });
    }

    /// Removes a request that has been completed or cancelled, and cancels its attempts in flight.
    pub(super) fn close(&mut self, now: Duration, key: request::Key, actions: &mut Vec<Action>) {
        self.dequeue(key);
        let Some(request) = self.requests.remove(key) else {
            return;
        };
        self.by_id.remove(&request.id);
        if let Some(limits) = self.limiters.get_mut(request.customer.index()) {
            match request.work {
                Work::Chat(_) => limits.chat.release(),
                Work::Call(_) => limits.calls.release(),
            }
        }
        for attempt in request.in_flight.into_iter().flatten() {
            self.cancel(now, attempt, actions);
        }
    }

    pub(super) fn cancel(&mut self, now: Duration, key: attempt::Key, actions: &mut Vec<Action>) {
        let Some(attempt) = self.attempts.remove(key) else {
            return;
        };
        if let Some(it) = self.directory.get_mut(attempt.replica) {
            it.end_attempt();
        }
        actions.push(Action::Cancel {
            attempt: attempt.id,
        });
        self.drain_replica(now, attempt.replica, actions);
    }

    /// Dispatches the request to another permitted version with capacity, and returns whether there
    /// was one.
    fn spill(&mut self, now: Duration, key: request::Key, actions: &mut Vec<Action>) -> bool {
        for next in self.alternatives(now, key) {
            if self.try_send(now, key, next, actions) {
                if let Some(request) = self.requests.get_mut(key) {
                    request.plan = Plan::new(&[next.step]);
                    request.step = 0;
                }
                return true;
            }
        }
        false
    }
}
