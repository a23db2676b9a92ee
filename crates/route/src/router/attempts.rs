//! The life cycle of attempts, and the decision to retry.

use std::sync::Arc;
use std::time::Duration;

use kernel::hash;

use super::{CROWDED_UTILIZATION, InFlight, Placement, Router, SESSION_GAP_MARGIN};
use crate::call::{Call, Ending, Failure, Next, Retry};
use crate::reach::State;

impl Router {
    /// Starts an attempt at the chosen endpoint.
    pub fn begin_attempt(
        &mut self,
        now: Duration,
        call: &mut Call,
        placement: &Placement,
    ) -> InFlight {
        call.attempts += 1;
        call.tried.push(placement.endpoint);
        let expected_latency = call
            .cascade
            .model()
            .map(|it| self.expected_latency(call, it));
        let pending_prefill = expected_latency.unwrap_or_default();
        let tokens = call.profile.tokens();
        let is_filling = self.endpoint_being_filled(now, call) == Some(placement.endpoint);
        if let Some(it) = self.directory.get_mut(placement.endpoint) {
            if let Some(session) = &call.profile.session {
                let gap = self.settings.session_gap + SESSION_GAP_MARGIN;
                let release = &it.entry.release;
                self.sessions.record(now, session, release, gap);
            }
            it.in_flight += 1;
            it.sent_since_load += 1;
            it.pending_prefill += pending_prefill;
            it.memory_used += tokens;
        }
        let process = self.directory.get(placement.endpoint);
        InFlight {
            endpoint: placement.endpoint,
            fingerprint: call.fingerprint,
            parts: Arc::clone(&call.parts),
            process: process.map(|it| it.entry.process()),
            started: now,
            pending_prefill,
            tokens,
            is_crowded: placement.utilization >= CROWDED_UTILIZATION,
            is_filling,
            expected_latency,
            response_started: None,
            pace_seconds: 0.0,
            events: 0,
            last_event: now,
            lacks_connection: false,
        }
    }

    /// Records that the first part of an attempt's response was received.
    pub fn response_started(&mut self, now: Duration, call: &Call, in_flight: &mut InFlight) {
        if in_flight.response_started.is_some() {
            return;
        }
        in_flight.response_started = Some(now);
        if let Some(it) = self.directory.get(in_flight.endpoint) {
            in_flight.pace_seconds = it.pace_clock.seconds(now);
        }
        self.finish_prefill(in_flight);
        let took = now.saturating_sub(in_flight.started);
        let Some(model) = call.model() else {
            /// The weight of one response in the moving average.
            const SMOOTHING: f64 = 0.05;
            let average = self
                .first_byte_times
                .entry(call.route.name.clone())
                .or_insert(took);
            *average = average.mul_f64(1.0 - SMOOTHING) + took.mul_f64(SMOOTHING);
            return;
        };
        let key = (call.service.clone(), model.clone());
        let estimator = self.prefill_estimators.entry(key).or_default();
        estimator.record(call.profile.prompt_tokens, took);
    }

    fn finish_prefill(&mut self, in_flight: &mut InFlight) {
        let pending_prefill = std::mem::take(&mut in_flight.pending_prefill);
        if let Some(it) = self.directory.get_mut(in_flight.endpoint) {
            it.pending_prefill = it.pending_prefill.saturating_sub(pending_prefill);
        }
    }

    /// Ends an attempt and returns what to do with the request. The returned value has no meaning
    /// after [`Ending::Answered`].
    pub fn end_attempt(
        &mut self,
        now: Duration,
        call: &mut Call,
        in_flight: InFlight,
        ending: Ending,
    ) -> Next {
        if matches!(ending, Ending::Refused | Ending::Misdirected) {
            call.refused.push(in_flight.endpoint);
        }
        self.record_finished(now, &in_flight, ending);
        self.record_service_time(now, call, &in_flight, ending);
        self.record_outcome(now, call, in_flight, ending);
        call.record_ending(ending);
        if ending.is_unsent() {
            call.attempts -= 1;
        }
        let is_blocked = || {
            self.quarantine
                .blocks_retry(now, call.fingerprint, &call.parts)
        };
        if !call.may_retry(now, ending) || is_blocked() {
            return Next::Fail(self.failure(now, call, ending));
        }
        // No endpoint is expected to be reachable, so trying others would only delay the refusal.
        let is_cut_off = self.reach() == State::CutOff && !self.may_relay(call);
        if ending == Ending::NotSent && is_cut_off {
            return Next::Fail(self.failure(now, call, ending));
        }
        if ending.is_unsent() || self.take_retry(now, call, ending) {
            call.retry = Retry::NotRequested;
            return Next::Again;
        }
        Next::Fail(self.failure(now, call, ending))
    }

    /// Returns how a request fails after its last attempt. If it was not run and all ready
    /// endpoints are paused, cold or evacuated, the caller is asked to wait at least until one is
    /// expected to accept requests.
    fn failure(&self, now: Duration, call: &Call, ending: Ending) -> Failure {
        match call.failure(now, ending) {
            Failure::NotRun { retry_after } => Failure::NotRun {
                retry_after: retry_after.max(self.directory.min_retry_after(now, &call.service)),
            },
            other => other,
        }
    }

    /// Reserves a retry after this ending from the budget, and returns whether the request
    /// has one and an endpoint takes it.
    ///
    /// Call this before abandoning an attempt that may still succeed, such as one that is
    /// slow or whose model has low confidence: without a retry, the request would fail.
    pub fn reserve_retry(&mut self, now: Duration, call: &mut Call, ending: Ending) -> bool {
        self.has_other_endpoint(now, call) && self.take_retry(now, call, ending)
    }

    /// Takes a retry from the budget, and returns whether the request has one.
    fn take_retry(&mut self, now: Duration, call: &mut Call, ending: Ending) -> bool {
        let hosts = self.budget_hosts();
        if call.retry != Retry::Reserved
            && call.may_retry(now, ending)
            && self.budget(&call.service).try_retry(now, hosts)
        {
            call.retry = Retry::Reserved;
        }
        call.retry == Retry::Reserved
    }

    /// Ends an attempt whose caller disconnected.
    pub fn cancel_attempt(&mut self, now: Duration, mut in_flight: InFlight) {
        self.record_finished(now, &in_flight, Ending::Cancelled);
        self.finish_prefill(&mut in_flight);
        if let Some(it) = self.directory.get_mut(in_flight.endpoint) {
            it.in_flight = it.in_flight.saturating_sub(1);
            it.memory_used = it.memory_used.saturating_sub(in_flight.tokens);
        }
    }

    /// Returns how a request fails for which there is no endpoint.
    #[must_use]
    pub fn unplaced_failure(&self, now: Duration, call: &Call) -> Failure {
        self.failure(now, call, Ending::NotSent)
    }

    fn record_outcome(
        &mut self,
        now: Duration,
        call: &Call,
        mut in_flight: InFlight,
        ending: Ending,
    ) {
        self.finish_prefill(&mut in_flight);
        self.record_stream(now, call, &in_flight);
        let key = in_flight.endpoint;
        let Some(it) = self.directory.get_mut(key) else {
            return;
        };
        it.in_flight = it.in_flight.saturating_sub(1);
        it.memory_used = it.memory_used.saturating_sub(in_flight.tokens);
        let release = it.entry.release.clone();
        if let Some(session) = &call.profile.session {
            self.sessions.touch(now, session);
        }
        match ending {
            Ending::Answered | Ending::LowConfidence => it.health.record_success(now),
            Ending::NotSent if in_flight.lacks_connection => {}
            Ending::NotSent | Ending::Misdirected => it.health.record_unreachable(now),
            Ending::Failed | Ending::Broken | Ending::TimedOut => {
                let id = it.entry.id.clone();
                if self.directory.record_failure(now, key) {
                    self.ejected.push((id, ending));
                }
            }
            Ending::Withheld | Ending::Refused | Ending::Cancelled => {}
        }
        let failed = match ending {
            Ending::Answered | Ending::LowConfidence => false,
            Ending::Failed | Ending::Broken | Ending::TimedOut => true,
            _ => return,
        };
        if ending == Ending::TimedOut && in_flight.is_filling {
            // While the endpoint is filled, prompts queue there until they time out. Counting
            // the timeouts would get good releases reverted. Other failures count.
            return;
        }
        if let Some(rollout) = self.rollouts.get_mut(&call.service) {
            // What a withdrawn release still answers or fails says nothing about the other two.
            let Some(side) = rollout.side_of(&release) else {
                return;
            };
            let class = hash::of(&(&call.route.name, call.cascade.model()));
            let mut observation = in_flight.observation(class, failed);
            // Timeouts count among all responses, but not among those of crowded endpoints.
            observation.is_crowded &= ending != Ending::TimedOut;
            rollout.record_response(side, &observation);
        }
    }
}
