//! Simulates the attempts at endpoints.

use std::time::Duration;

use super::{Event, NETWORK, PROPAGATION, Sim};
use crate::{
    attempt::{Attempt, AttemptKey, State},
    endpoint::Admission,
    ratings::Rating,
    record::Fate,
    router::{End, Input},
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
            let since = self.withdrawn_at[version.idx()];
            record.withdrawn |= since.is_some_and(|it| self.now > it + PROPAGATION);
            if !record.asked.contains(&version) {
                record.asked.push(version);
            }
        }
        self.attempts.insert(key, attempt);
        self.queue.push(self.now + NETWORK, Event::Submit(key));
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
            return self.tell_end(key, End::Unreachable);
        }
        match endpoint.admit(key, attempt.priority) {
            Admission::Runs => self.run_attempt(key),
            Admission::Waits => {}
            Admission::Refused => self.tell_end(key, End::Refused),
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
                since: self.now,
                first: self.now,
                answer: None,
            };
            let end = self.now + arrival.service;
            return self.queue.push(end, Event::Finish(key));
        };
        let it = self.truth.world.version(version);
        let cached = arrival
            .session
            .is_some_and(|it| self.endpoints[attempt.endpoint].cached(it));
        let part = if cached { CACHED_PREFILL } else { 1.0 };
        let prefill = it
            .prefill
            .mul_f64(f64::from(arrival.prompt) / 1_000.0 * part);
        let first = self.now + prefill + it.token;
        let answer = self.truth.answer(arrival, version, self.now);
        let tokens = if answer.error { 1 } else { arrival.completion };
        let end = self.now + prefill + it.token * tokens;
        attempt.state = State::Running {
            since: self.now,
            first,
            answer: Some(answer),
        };
        self.records[arrival.idx].touched |= answer.harmed || answer.error;
        if !answer.error {
            self.queue.push(first + NETWORK, Event::FirstToken(key));
        }
        self.queue.push(end, Event::Finish(key));
    }

    pub(super) fn first_token(&mut self, key: AttemptKey) {
        let Some(attempt) = self.attempts.get(&key) else {
            return;
        };
        if attempt.relay == crate::attempt::Relay::Now {
            let record = &mut self.records[attempt.request];
            if record.fate == Fate::Pending {
                record.first.get_or_insert(self.now);
            }
        }
        self.tell(key.host, &Input::Started { attempt: key });
    }

    pub(super) fn finish(&mut self, key: AttemptKey) {
        let Some(attempt) = self.attempts.get_mut(&key) else {
            return;
        };
        let State::Running { since, answer, .. } = attempt.state else {
            return;
        };
        let arrival = &self.arrivals[attempt.request];
        let (endpoint, version) = (attempt.endpoint, attempt.version);
        let end = match answer {
            Some(it) if it.error => End::Failed,
            Some(it) => End::Answered {
                confidence: it.confidence,
                prompt: arrival.prompt,
                completion: arrival.completion,
            },
            None => End::Served,
        };
        self.busy[endpoint] += self.now.saturating_sub(since);
        attempt.state = State::Done { answer };
        if let (Some(version), End::Answered { .. }) = (version, end) {
            let it = self.truth.world.version(version);
            self.records[arrival.idx].cost += it.cost(arrival.prompt, arrival.completion).0;
            self.ratings.earn();
        }
        self.release(endpoint, key);
        self.queue.push(self.now + NETWORK, Event::Ended(key, end));
    }

    pub(super) fn ended(&mut self, key: AttemptKey, end: End) {
        let Some(attempt) = self.attempts.get(&key) else {
            return;
        };
        let request = attempt.request;
        if attempt.sample {
            self.sample(key);
        }
        let whole = matches!(end, End::Answered { .. } | End::Served);
        if !whole || self.records[request].fate != Fate::Pending {
            self.attempts.remove(&key);
        }
        self.tell(key.host, &Input::Ended { attempt: key, end });
    }

    pub(super) fn time_out(&mut self, key: AttemptKey) {
        let waits = self
            .attempts
            .get(&key)
            .is_some_and(|it| !matches!(it.state, State::Done { .. }));
        if waits {
            self.cancel(key);
            let end = End::TimedOut;
            self.tell(key.host, &Input::Ended { attempt: key, end });
        }
    }

    pub(super) fn cancel(&mut self, key: AttemptKey) {
        if let Some(attempt) = self.attempts.remove(&key) {
            self.charge_part(&attempt);
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
                answer: Some(answer),
            },
            Some(version),
        ) = (attempt.state, attempt.version)
        else {
            attempt.sample = true;
            return;
        };
        attempt.sample = false;
        let rating = Rating {
            host: key.host,
            request: attempt.request,
            version,
            good: answer.good,
        };
        let rated = self
            .ratings
            .rate(self.now, self.truth.scenario, key, rating);
        if let Some((at, rating)) = rated {
            self.queue.push(at, Event::Rated(rating));
        }
    }

    /// Ends an attempt because its endpoint went down.
    pub(super) fn cut(&mut self, key: AttemptKey) {
        let Some(attempt) = self.attempts.get_mut(&key) else {
            return;
        };
        let begun = match attempt.state {
            State::Running { first, .. } => first + NETWORK <= self.now,
            State::Waiting | State::Done { .. } => false,
        };
        attempt.state = State::Waiting;
        self.tell_end(key, if begun { End::Cut } else { End::Failed });
    }

    fn release(&mut self, endpoint: usize, key: AttemptKey) {
        if let Some(next) = self.endpoints[endpoint].release(key) {
            self.run_attempt(next);
        }
    }

    fn tell_end(&mut self, key: AttemptKey, end: End) {
        self.queue.push(self.now + NETWORK, Event::Ended(key, end));
    }

    /// Charges the tokens that a cancelled attempt has used.
    fn charge_part(&mut self, attempt: &Attempt) {
        let (State::Running { since, first, .. }, Some(version)) = (attempt.state, attempt.version)
        else {
            return;
        };
        if since == self.now {
            return;
        }
        let it = self.truth.world.version(version);
        let arrival = &self.arrivals[attempt.request];
        let made = self.now.saturating_sub(first).as_micros() / it.token.as_micros();
        let made = u32::try_from(made)
            .unwrap_or(u32::MAX)
            .min(arrival.completion);
        self.records[attempt.request].cost += it.cost(arrival.prompt, made).0;
    }
}
