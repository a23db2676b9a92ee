//! Queueing, and estimates of latency and cost.

use std::time::Duration;

use kernel::Money;

use super::Decider;
use super::place::NextStep;
use crate::arrival::Work;
use crate::directory::Target;
use crate::number::{count, floor};
use crate::plan::Step;
use crate::policy::{Priority, RetryPolicy};
use crate::queue::Entry;
use crate::refusal::Reason;
use crate::{key, pool, request};

impl Decider {
    /// Returns an error if the request may not be queued, because the queue is full or the expected
    /// wait is too long.
    pub(super) fn check_wait(
        &self,
        now: Duration,
        key: request::Key,
        next: NextStep,
    ) -> Result<(), WaitRefused> {
        let (Some(request), Some(pool)) = (self.requests.get(key), self.pools.get(next.target))
        else {
            return Err(WaitRefused::new(Reason::NoEndpoint, None));
        };
        let weight = self.weight(request.customer);
        let running = f64::from(self.directory.in_flight(next.target));
        let running = running.max(self.directory.slot_share(next.target));
        let wait = pool.estimated_wait(now, request.customer, request.priority, weight, running);
        let own = pool.queue.queued_for(request.customer, request.priority);
        if own >= self.max_queued(weight) || pool.queue.len() >= 2 * self.tuning.queue_length {
            return Err(WaitRefused::new(Reason::Overloaded, Some(wait)));
        }
        let latency = self.expected_latency(key, next.target);
        if now + wait + latency > request.deadline {
            return Err(WaitRefused::new(Reason::Deadline, Some(wait)));
        }
        if wait > max_wait(request.priority) {
            return Err(WaitRefused::new(Reason::Overloaded, Some(wait)));
        }
        Ok(())
    }

    /// Queues the request: at the front of its customer's backlog if it has been attempted before,
    /// else at the end.
    pub(super) fn enqueue(&mut self, key: request::Key, target: Target) {
        let Some(request) = self.requests.get_mut(key) else {
            return;
        };
        request.waiting_for = Some(target);
        let entry = Entry {
            request: key,
            customer: request.customer,
            priority: request.priority,
        };
        let attempted = request.attempts > 0;
        let weight = self.weight(entry.customer);
        if let Some(pool) = self.pools.get_mut(target) {
            if attempted {
                pool.queue.push_front(entry, weight);
            } else {
                pool.queue.push(entry, weight);
            }
        }
    }

    pub(super) fn dequeue(&mut self, key: request::Key) {
        let Some(request) = self.requests.get_mut(key) else {
            return;
        };
        let Some(target) = request.waiting_for.take() else {
            return;
        };
        let entry = Entry {
            request: key,
            customer: request.customer,
            priority: request.priority,
        };
        if let Some(pool) = self.pools.get_mut(target) {
            pool.queue.remove(entry);
        }
    }

    pub(super) fn charge(&mut self, key: request::Key, target: Target) {
        let Some(request) = self.requests.get(key) else {
            return;
        };
        let (customer, priority) = (request.customer, request.priority);
        let work = self.expected_latency(key, target).as_secs_f64().max(0.001);
        let weight = self.weight(customer);
        if let Some(pool) = self.pools.get_mut(target) {
            pool.queue.charge(customer, priority, work, weight);
        }
    }

    /// Returns whether this host's attempts in flight, at its subset of a plain service's
    /// endpoints, have reached the service's limit.
    pub(super) fn is_at_limit(&self, target: Target) -> bool {
        match target {
            Target::Version(_) => false,
            Target::Service(service) => {
                let limits = self.policy.services.get(service.index());
                limits.is_none_or(|it| self.directory.in_flight(target) >= it.concurrency)
            }
        }
    }

    /// Returns the time limit of an attempt. For an idempotent request with a known usual latency,
    /// it is half of the remaining time, or a multiple of the usual latency if that is longer (at
    /// most all of the time), so that an endpoint that hangs leaves time for a retry. All other
    /// attempts get all of the remaining time, and so does a model response that is relayed while
    /// it is received, since it can't be replaced once it has started.
    pub(super) fn timeout(&self, now: Duration, key: request::Key, next: NextStep) -> Duration {
        const TIMEOUT_LATENCY_FACTOR: u32 = 5;
        let Some(request) = self.requests.get(key) else {
            return Duration::ZERO;
        };
        let left = request.deadline.saturating_sub(now);
        if next.step.threshold == 0 && matches!(next.target, Target::Version(_)) {
            return left;
        }
        if request.retry_policy == RetryPolicy::AtMostOnce {
            return left;
        }
        let usual = self.expected_latency(key, next.target);
        if usual.is_zero() {
            return left;
        }
        left.min((usual * TIMEOUT_LATENCY_FACTOR).max(left / 2))
    }

    /// Returns the usual duration of an attempt, or zero if it is unknown.
    pub(super) fn expected_latency(&self, key: request::Key, target: Target) -> Duration {
        let class = self.requests.get(key).map(|it| it.class);
        let seconds = match (target, class) {
            (Target::Version(version), Some(class)) => self
                .knowledge
                .latency(version, class)
                .and_then(|it| it.value(5)),
            _ => None,
        };
        let pool = || self.pools.get(target).map_or(0.0, pool::Pool::mean_seconds);
        Duration::from_secs_f64(seconds.unwrap_or_else(pool))
    }

    /// Returns an upper estimate of the cost of a step.
    pub(super) fn max_step_cost(&self, key: request::Key, step: Step) -> Money {
        let (Some(request), Some(version)) = (
            self.requests.get(key),
            self.policy.versions.get(step.version.index()),
        ) else {
            return Money::ZERO;
        };
        let (_, max_completion) = self.knowledge.completion(step.version, request.class);
        let max_completion = floor(max_completion) + 1;
        let max_completion = match &request.work {
            Work::Chat(chat) if chat.max_tokens > 0 => {
                max_completion.min(u64::from(chat.max_tokens))
            }
            _ => max_completion,
        };
        version.cost(u64::from(request.prompt_tokens()), max_completion)
    }

    pub(super) fn weight(&self, customer: key::Customer) -> f64 {
        let customer = self.policy.customers.get(customer.index());
        let weight = customer.map(|it| it.weight);
        weight.filter(|it| *it > 0.0).unwrap_or(1.0)
    }

    /// Returns the number of requests that a customer of this weight may have queued for a target at
    /// each priority.
    pub(super) fn max_queued(&self, weight: f64) -> usize {
        const MIN_QUEUED: usize = 4;
        let customers = self.policy.customers.iter();
        let total: f64 = customers.map(|it| it.weight).sum();
        let share = count(self.tuning.queue_length) * (2.0 * weight / total).min(1.0);
        usize::try_from(floor(share))
            .unwrap_or(MIN_QUEUED)
            .max(MIN_QUEUED)
    }
}

/// The reason why a request may not be queued.
pub(super) struct WaitRefused {
    pub(super) reason: Reason,
    pub(super) retry_after: Option<Duration>,
}

impl WaitRefused {
    fn new(reason: Reason, retry_after: Option<Duration>) -> Self {
        Self {
            reason,
            retry_after,
        }
    }
}

/// Returns the maximum expected wait, which applies even if the deadline is later.
fn max_wait(priority: Priority) -> Duration {
    match priority {
        Priority::Urgent => Duration::from_secs(2),
        Priority::Interactive => Duration::from_secs(15),
        Priority::Batch => Duration::from_mins(2),
    }
}
