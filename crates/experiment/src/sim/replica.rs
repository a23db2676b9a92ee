//! Simulates the attempts at endpoints.

use std::time::Duration;

use super::{Event, NETWORK_LATENCY, PROPAGATION_DELAY, Sim};
use crate::{
    attempt::{Attempt, AttemptKey, State},
    endpoint::Admission,
    rating_service::Rating,
    record::RequestStatus,
    router::{AttemptOutcome, Input},
};

/// The remaining share of the prefill time if the prompt prefix is cached.
const CACHED_PREFILL: f64 = 0.2;

impl Sim<'_> {
    pub(super) fn dispatch(
        &mut self,
        key: AttemptKey,
        attempt: Attempt,
        timeout: Option<Duration>,
    ) {
        let record = &mut self.records[attempt.request];
        record.dispatches += 1;
        if let Some(version) = attempt.version {
            let withdrawn_at = self.withdrawn_at[version.idx()];
            record.withdrawn |= withdrawn_at.is_some_and(|it| self.now > it + PROPAGATION_DELAY);
            if !record.tried.contains(&version) {
                record.tried.push(version);
            }
        }
        self.attempts.insert(key, attempt);
        self.queue
            .push(self.now + NETWORK_LATENCY, Event::Submit(key));
        if let Some(timeout) = timeout {
            self.queue.push(self.now + timeout, Event::Timeout(key));
        }
    }

    pub(super) fn submit(&mut self, key: AttemptKey) {
        let Some(attempt) = self.attempts.get(&key) else {
            return;
        };
        let endpoint = &mut self.endpoints[attempt.endpoint];
        if !endpoint.up {
            return self.schedule_outcome(key, AttemptOutcome::Unreachable);
        }
        match endpoint.admit(key, attempt.priority) {
            Admission::Runs => self.run_attempt(key),
            Admission::Waits => {}
            Admission::Refused => self.schedule_outcome(key, AttemptOutcome::Refused),
        }
    }

    /// Starts to run an attempt that got a slot.
    fn run_attempt(&mut self, key: AttemptKey) {
        let Some(attempt) = self.attempts.get_mut(&key) else {
            return;
        };
        let arrival = &self.arrivals[attempt.request];
        self.records[attempt.request].runs += 1;
        let Some(version) = attempt.version else {
            attempt.state = State::Running {
                started: self.now,
                first_token: self.now,
                response: None,
            };
            let end = self.now + arrival.service;
            return self.queue.push(end, Event::Finish(key));
        };
        let it = self.truth.world.version(version);
        let cached = arrival
            .session
            .is_some_and(|it| self.endpoints[attempt.endpoint].cache_prefix(it));
        let prefill_share = if cached { CACHED_PREFILL } else { 1.0 };
        let prefill = it
            .prefill
            .mul_f64(f64::from(arrival.prompt) / 1_000.0 * prefill_share);
        let first_token = self.now + prefill + it.token;
        let response = self.truth.response(arrival, version, self.now);
        let tokens = if response.error {
            1
        } else {
            arrival.completion
        };
        let end = self.now + prefill + it.token * tokens;
        attempt.state = State::Running {
            started: self.now,
            first_token,
            response: Some(response),
        };
        self.records[arrival.idx].affected |= response.harmed || response.error;
        if !response.error {
            self.queue
                .push(first_token + NETWORK_LATENCY, Event::FirstToken(key));
        }
        self.queue.push(end, Event::Finish(key));
    }

    pub(super) fn first_token(&mut self, key: AttemptKey) {
        let Some(attempt) = self.attempts.get(&key) else {
            return;
        };
        if attempt.relay == crate::attempt::Relay::Now {
            let record = &mut self.records[attempt.request];
            if record.status == RequestStatus::Pending {
                record.first_token.get_or_insert(self.now);
            }
        }
        self.handle_input(key.host, &Input::Started { attempt: key });
    }

    pub(super) fn finish(&mut self, key: AttemptKey) {
        let Some(attempt) = self.attempts.get_mut(&key) else {
            return;
        };
        let State::Running {
            started, response, ..
        } = attempt.state
        else {
            return;
        };
        let arrival = &self.arrivals[attempt.request];
        let (endpoint, version) = (attempt.endpoint, attempt.version);
        let outcome = match response {
            Some(it) if it.error => AttemptOutcome::Failed,
            Some(it) => AttemptOutcome::Answered {
                confidence: it.confidence,
                prompt: arrival.prompt,
                completion: arrival.completion,
            },
            None => AttemptOutcome::Served,
        };
        self.busy[endpoint] += self.now.saturating_sub(started);
        attempt.state = State::Done { response };
        if let (Some(version), AttemptOutcome::Answered { .. }) = (version, outcome) {
            let it = self.truth.world.version(version);
            self.records[arrival.idx].cost += it.cost(arrival.prompt, arrival.completion).0;
            self.rating_service.add_capacity();
        }
        self.release(endpoint, key);
        self.queue
            .push(self.now + NETWORK_LATENCY, Event::Ended(key, outcome));
    }

    pub(super) fn ended(&mut self, key: AttemptKey, outcome: AttemptOutcome) {
        let Some(attempt) = self.attempts.get(&key) else {
            return;
        };
        let request = attempt.request;
        if attempt.sample_on_completion {
            self.sample(key);
        }
        let complete = matches!(
            outcome,
            AttemptOutcome::Answered { .. } | AttemptOutcome::Served
        );
        if !complete || self.records[request].status != RequestStatus::Pending {
            self.attempts.remove(&key);
        }
        self.handle_input(
            key.host,
            &Input::Ended {
                attempt: key,
                outcome,
            },
        );
    }

    pub(super) fn time_out(&mut self, key: AttemptKey) {
        let unfinished = self
            .attempts
            .get(&key)
            .is_some_and(|it| !matches!(it.state, State::Done { .. }));
        if unfinished {
            self.cancel(key);
            let outcome = AttemptOutcome::TimedOut;
            self.handle_input(
                key.host,
                &Input::Ended {
                    attempt: key,
                    outcome,
                },
            );
        }
    }

    pub(super) fn cancel(&mut self, key: AttemptKey) {
        if let Some(attempt) = self.attempts.remove(&key) {
            self.charge_partial(&attempt);
            self.release(attempt.endpoint, key);
        }
    }

    /// Sends the response to the rating service, or marks the attempt to do so once it is complete.
    pub(super) fn sample(&mut self, key: AttemptKey) {
        let Some(attempt) = self.attempts.get_mut(&key) else {
            return;
        };
        let (
            State::Done {
                response: Some(response),
            },
            Some(version),
        ) = (attempt.state, attempt.version)
        else {
            attempt.sample_on_completion = true;
            return;
        };
        attempt.sample_on_completion = false;
        let rating = Rating {
            host: key.host,
            request: attempt.request,
            version,
            good: response.good,
        };
        let rated = self
            .rating_service
            .rate(self.now, self.truth.scenario, key, rating);
        if let Some((at, rating)) = rated {
            self.queue.push(at, Event::Rated(rating));
        }
    }

    /// Ends an attempt because its endpoint went down.
    pub(super) fn abort_attempt(&mut self, key: AttemptKey) {
        let Some(attempt) = self.attempts.get_mut(&key) else {
            return;
        };
        let first_token_received = match attempt.state {
            State::Running { first_token, .. } => first_token + NETWORK_LATENCY <= self.now,
            State::Waiting | State::Done { .. } => false,
        };
        attempt.state = State::Waiting;
        self.schedule_outcome(
            key,
            if first_token_received {
                AttemptOutcome::Cut
            } else {
                AttemptOutcome::Failed
            },
        );
    }

    fn release(&mut self, endpoint: usize, key: AttemptKey) {
        if let Some(next) = self.endpoints[endpoint].release(key) {
            self.run_attempt(next);
        }
    }

    fn schedule_outcome(&mut self, key: AttemptKey, outcome: AttemptOutcome) {
        self.queue
            .push(self.now + NETWORK_LATENCY, Event::Ended(key, outcome));
    }

    /// Charges a cancelled attempt at a model for the whole prompt and the completion tokens after
    /// the first one. Charges nothing if the attempt started at this instant or isn't running.
    fn charge_partial(&mut self, attempt: &Attempt) {
        let (
            State::Running {
                started,
                first_token,
                ..
            },
            Some(version),
        ) = (attempt.state, attempt.version)
        else {
            return;
        };
        if started == self.now {
            return;
        }
        let it = self.truth.world.version(version);
        let arrival = &self.arrivals[attempt.request];
        let completion = self.now.saturating_sub(first_token).as_micros() / it.token.as_micros();
        let completion = u32::try_from(completion)
            .unwrap_or(u32::MAX)
            .min(arrival.completion);
        self.records[attempt.request].cost += it.cost(arrival.prompt, completion).0;
    }
}
