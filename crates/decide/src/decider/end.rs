//! Responses and failures of attempts.

use std::time::Duration;

use super::Decider;
use crate::action::{Deliver, Relay};
use crate::attempt::{self, Attempt, Progress};
use crate::directory::Target;
use crate::outcome::{Answer, Denial, Outcome};
use crate::policy::Repeat;
use crate::refusal::{Reason, Run};
use crate::request::{self, Kept};
use crate::tally::Bucket;
use crate::{Action, key};

/// Cost of a retry after an endpoint reported that it isn't the right one: the version isn't loaded,
/// the endpoint is leaving, or another process has its address. Cheaper than other retries, since the
/// endpoint is taken out of use and such retries can't amplify an overload.
const REDIRECT: f64 = 0.25;

impl Decider {
    /// Handles the first byte of a response. Once the response is being relayed it can't be
    /// replaced, so the request's other attempt is cancelled.
    pub(super) fn started(&mut self, now: Duration, key: attempt::Key, actions: &mut Vec<Action>) {
        let Some(attempt) = self.attempts.get_mut(key) else {
            return;
        };
        if attempt.progress != Progress::Sent {
            return;
        }
        attempt.progress = Progress::Started(now);
        let attempt = *attempt;
        if let Some(pool) = self.pools.get_mut(attempt.target) {
            pool.first_byte(now.saturating_sub(attempt.sent).as_secs_f64());
        }
        if attempt.relay == Relay::Now
            && let Some(request) = self.requests.get_mut(attempt.request)
        {
            request.relayed = true;
            self.cancel_others(now, attempt.request, key, actions);
        }
    }

    /// Handles the end of an attempt.
    pub(super) fn ended(
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
            replica.freed();
        }
        if let Some(request) = self.requests.get_mut(attempt.request) {
            request.landed(key);
            if !outcome.not_run() {
                request.run = Run::Unknown;
            }
        }
        self.learn(now, &attempt, outcome, actions);
        match outcome {
            Outcome::Answered(answer) => self.answered(now, &attempt, answer, actions),
            Outcome::Served => self.deliver(now, &attempt, actions),
            _ => self.failed(now, &attempt, outcome, actions),
        }
        self.drain_replica(now, attempt.replica, actions);
    }

    fn answered(
        &mut self,
        now: Duration,
        attempt: &Attempt,
        answer: Answer,
        actions: &mut Vec<Action>,
    ) {
        self.charge_answer(now, attempt, answer);
        self.sample(now, attempt, answer, actions);
        let Some(request) = self.requests.get_mut(attempt.request) else {
            return;
        };
        let version = attempt.step.version;
        let bucket = Bucket::from(answer.confidence);
        let sick = self.health.is_quarantined(version);
        let taken = attempt.relay == Relay::Now || (bucket.passes(attempt.step.threshold) && !sick);
        if taken {
            return self.deliver(now, attempt, actions);
        }
        if !sick && (request.kept.is_none() || !attempt.step.is_probe()) {
            request.kept = Some(Kept {
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
        let exhausted = request.attempts >= self.tuning.attempts;
        let (deadline, kept) = (request.deadline, request.kept.is_some());
        let late = next.is_some_and(|it| {
            let needed = self.latency(key, Target::Version(it.version));
            now + needed > deadline
        });
        if exhausted || (late && kept) {
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

    fn failed(
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
        let harmless = outcome.not_run() || request.repeat == Repeat::Idempotent;
        let late = now >= request.deadline;
        let left = request.attempts < self.tuning.attempts && !late;
        if !harmless || !left || !self.retries.take(retry_price(outcome)) {
            let retry_after = self.comes_back(attempt, outcome);
            let reason = reason(outcome, late);
            return self.give_up(now, key, reason, retry_after, actions);
        }
        self.prepare_retry(now, attempt, outcome);
        self.place(now, key, actions);
    }

    /// Makes the retry avoid the endpoint, and if the version failed twice in succession, also the
    /// version.
    fn prepare_retry(&mut self, now: Duration, attempt: &Attempt, outcome: Outcome) {
        let key = attempt.request;
        let Some(request) = self.requests.get_mut(key) else {
            return;
        };
        request.avoid = Some(attempt.replica);
        let Some(version) = version(attempt).filter(|_| !outcome.not_run()) else {
            return;
        };
        let again = request.failed.replace(version) == Some(version);
        if again && let Some(plan) = self.replacement(now, key, version) {
            let request = &mut self.requests[key];
            request.plan = plan;
            request.step = 0;
        }
    }

    fn comes_back(&self, attempt: &Attempt, outcome: Outcome) -> Option<Duration> {
        if outcome != Outcome::Denied(Denial::Overloaded) {
            return None;
        }
        let pool = self.pools.get(attempt.target)?;
        Some(Duration::from_secs_f64(pool.seconds().clamp(0.1, 60.0)))
    }

    fn charge_answer(&mut self, now: Duration, attempt: &Attempt, answer: Answer) {
        let entry = self.policy.versions.get(attempt.step.version.index());
        let cost = entry.map(|it| {
            let prompt = u64::from(answer.prompt_tokens);
            it.cost(prompt, u64::from(answer.completion_tokens))
        });
        if let Some(request) = self.requests.get_mut(attempt.request) {
            let cost = cost.unwrap_or_default();
            request.spent += cost;
            self.knowledge.spent(now, request.class, cost);
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
        let flights = std::mem::take(&mut request.flights);
        request.took_off(started);
        let others = flights.into_iter().flatten().filter(|it| *it != started);
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

fn retry_price(outcome: Outcome) -> f64 {
    match outcome {
        Outcome::Denied(Denial::NotLoaded | Denial::Leaving | Denial::WrongIncarnation) => REDIRECT,
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
