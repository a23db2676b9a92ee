//! Responses and failures of attempts.

use std::time::Duration;

use super::Decider;
use crate::action::{Deliver, Relay};
use crate::attempt::{self, Attempt, Progress};
use crate::directory::Target;
use crate::histogram::Bucket;
use crate::outcome::{Answer, Denial, Outcome};
use crate::policy::RetryPolicy;
use crate::refusal::{Reason, Run};
use crate::request::{self, Fallback};
use crate::{Action, key};

/// Cost of a retry after an endpoint reported that it isn't the right one: the version isn't
/// loaded, the endpoint is leaving, or another process has its address. Cheaper than other retries,
/// since the endpoint is no longer used for that version or service and such retries can't amplify
/// an overload.
const REDIRECT_RETRY_COST: f64 = 0.25;

impl Decider {
    /// Handles the first byte of a response. Once the response is being relayed it can't be
    /// replaced, so the request's other attempt is cancelled.
    pub(super) fn response_started(
        &mut self,
        now: Duration,
        key: attempt::Key,
        actions: &mut Vec<Action>,
    ) {
        let Some(attempt) = self.attempts.get_mut(key) else {
            return;
        };
        if attempt.progress != Progress::Sent {
            return;
        }
        attempt.progress = Progress::Started(now);
        let attempt = *attempt;
        if let Some(pool) = self.pools.get_mut(attempt.target) {
            pool.record_first_byte(now.saturating_sub(attempt.sent_at).as_secs_f64());
        }
        if attempt.relay == Relay::Now
            && let Some(request) = self.requests.get_mut(attempt.request)
        {
            request.relayed = true;
            self.cancel_others(now, attempt.request, key, actions);
        }
    }

    /// Handles the end of an attempt.
    pub(super) fn attempt_ended(
        &mut self,
        now: Duration,
        key: attempt::Key,
        outcome: Outcome,
        actions: &mut Vec<Action>,
    ) {
        let Some(attempt) = self.attempts.remove(key) else {
            return;
        };
        if let Some(replica) = self.directory.get_mut(attempt.replica) {
            replica.end_attempt();
        }
        if let Some(request) = self.requests.get_mut(attempt.request) {
            request.remove_attempt(key);
            if !outcome.not_run() {
                request.run = Run::Unknown;
            }
        }
        self.record_outcome(now, &attempt, outcome, actions);
        match outcome {
            Outcome::Answered(answer) => self.handle_response(now, &attempt, answer, actions),
            Outcome::Served => self.deliver(now, &attempt, actions),
            _ => self.handle_failure(now, &attempt, outcome, actions),
        }
        self.drain_replica(now, attempt.replica, actions);
    }

    fn handle_response(
        &mut self,
        now: Duration,
        attempt: &Attempt,
        answer: Answer,
        actions: &mut Vec<Action>,
    ) {
        self.record_cost(now, attempt, answer);
        self.request_rating(now, attempt, answer, actions);
        let Some(request) = self.requests.get_mut(attempt.request) else {
            return;
        };
        let version = attempt.step.version;
        let bucket = Bucket::from(answer.confidence);
        let is_quarantined = self.health.is_quarantined(version);
        let accepted = attempt.relay == Relay::Now
            || (bucket.passes(attempt.step.threshold) && !is_quarantined);
        if accepted {
            return self.deliver(now, attempt, actions);
        }
        if !is_quarantined && (request.fallback.is_none() || !attempt.step.is_probe()) {
            request.fallback = Some(Fallback {
                attempt: attempt.id,
                version,
            });
        }
        self.escalate(now, attempt.request, actions);
    }

    /// Continues with the next step, or completes the request if it has no attempts left, or has a
    /// fallback response and too little time for the step.
    fn escalate(&mut self, now: Duration, key: request::Key, actions: &mut Vec<Action>) {
        let Some(request) = self.requests.get(key) else {
            return;
        };
        if request.is_in_flight() {
            return;
        }
        let next = request.plan.step(request.step + 1);
        let exhausted = request.attempts >= self.tuning.max_attempts;
        let (deadline, has_fallback) = (request.deadline, request.fallback.is_some());
        let late = next.is_some_and(|it| {
            let needed = self.expected_latency(key, Target::Version(it.version));
            now + needed > deadline
        });
        if exhausted || (late && has_fallback) {
            return self.give_up(now, key, Reason::UpstreamFailed, None, actions);
        }
        self.skip_step(now, key, actions);
    }

    fn deliver(&mut self, now: Duration, attempt: &Attempt, actions: &mut Vec<Action>) {
        let Some(request) = self.requests.get(attempt.request) else {
            return;
        };
        let deliver = Deliver {
            request: request.id,
            attempt: attempt.id,
            version: version(attempt),
            cost: request.spent,
            attempts: request.attempts,
        };
        self.close(now, attempt.request, actions);
        actions.push(Action::Deliver(deliver));
    }

    fn handle_failure(
        &mut self,
        now: Duration,
        attempt: &Attempt,
        outcome: Outcome,
        actions: &mut Vec<Action>,
    ) {
        let key = attempt.request;
        let Some(request) = self.requests.get(key) else {
            return;
        };
        if request.is_in_flight() {
            return;
        }
        if request.relayed {
            // Part of a response has been relayed, and another response can't continue it.
            return self.give_up(now, key, Reason::AnswerCut, None, actions);
        }
        if attempt.step.is_probe() {
            return self.escalate(now, key, actions);
        }
        let is_safe_to_retry = outcome.not_run() || request.retry_policy == RetryPolicy::Idempotent;
        let late = now >= request.deadline;
        let may_retry = request.attempts < self.tuning.max_attempts && !late;
        if !is_safe_to_retry || !may_retry || !self.retries.take(retry_cost(outcome)) {
            let retry_after = self.overload_retry_after(attempt, outcome);
            let reason = reason(outcome, late);
            return self.give_up(now, key, reason, retry_after, actions);
        }
        self.prepare_retry(now, attempt, outcome);
        self.place(now, key, actions);
    }

    /// Makes the retry avoid the endpoint, and also the version if the last two failures after which
    /// the request may have run were both with it and the request may use another.
    fn prepare_retry(&mut self, now: Duration, attempt: &Attempt, outcome: Outcome) {
        let key = attempt.request;
        let Some(request) = self.requests.get_mut(key) else {
            return;
        };
        request.avoided_replica = Some(attempt.replica);
        let Some(version) = version(attempt).filter(|_| !outcome.not_run()) else {
            return;
        };
        let failed_twice = request.last_failed_version.replace(version) == Some(version);
        if failed_twice && let Some(plan) = self.replacement_plan(now, key, version) {
            let request = &mut self.requests[key];
            request.plan = plan;
            request.step = 0;
        }
    }

    fn overload_retry_after(&self, attempt: &Attempt, outcome: Outcome) -> Option<Duration> {
        if outcome != Outcome::Denied(Denial::Overloaded) {
            return None;
        }
        let pool = self.pools.get(attempt.target)?;
        Some(Duration::from_secs_f64(
            pool.mean_seconds().clamp(0.1, 60.0),
        ))
    }

    fn record_cost(&mut self, now: Duration, attempt: &Attempt, answer: Answer) {
        let entry = self.policy.versions.get(attempt.step.version.index());
        let cost = entry.map(|it| {
            let prompt = u64::from(answer.prompt_tokens);
            it.cost(prompt, u64::from(answer.completion_tokens))
        });
        if let Some(request) = self.requests.get_mut(attempt.request) {
            let cost = cost.unwrap_or_default();
            request.spent += cost;
            self.knowledge.record_cost(now, request.class, cost);
        }
    }

    fn cancel_others(
        &mut self,
        now: Duration,
        key: request::Key,
        started: attempt::Key,
        actions: &mut Vec<Action>,
    ) {
        let Some(request) = self.requests.get_mut(key) else {
            return;
        };
        let in_flight = std::mem::take(&mut request.in_flight);
        request.add_attempt(started);
        let others = in_flight.into_iter().flatten().filter(|it| *it != started);
        for other in others {
            self.cancel(now, other, actions);
        }
    }
}

fn version(attempt: &Attempt) -> Option<key::Version> {
    match attempt.target {
        Target::Version(version) => Some(version),
        Target::Service(_) => None,
    }
}

fn retry_cost(outcome: Outcome) -> f64 {
    match outcome {
        Outcome::Denied(Denial::NotLoaded | Denial::Leaving | Denial::WrongIncarnation) => {
            REDIRECT_RETRY_COST
        }
        _ => 1.0,
    }
}

fn reason(outcome: Outcome, late: bool) -> Reason {
    match outcome {
        Outcome::Denied(Denial::Overloaded) => Reason::Overloaded,
        _ if late => Reason::Deadline,
        _ => Reason::UpstreamFailed,
    }
}
