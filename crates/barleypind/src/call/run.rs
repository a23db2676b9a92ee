//! The run of a permitted call. Carries out the decider's directives, owns the response channel
//! to the caller and settles the call with the ledger.

mod settle;

use std::sync::Arc;
use std::time::Duration;

use decide::Outcome;
use decide::action::{Relay, Session};
use decide::endpoint::State;
use decide::outcome::Denial;
use decide::policy::RetryPolicy;
use engine::Attempt;
use futures::channel::mpsc::UnboundedReceiver;
use futures::{FutureExt, StreamExt, pin_mut, select_biased};
use gate::problem::{Problem, Reason};
use http::Disconnect;
use kernel::{AttemptId, VersionId};

use super::Call;
use super::attempt::{self, AttemptEnd, AttemptsInFlight, CompleteResponse, Progress, Timeouts};
use super::caller::Caller;
use super::work::Work;
use crate::context::Context;
use crate::event::Event;
use crate::metrics::{CallKind, RetryReason};
use crate::service::decide::{Delivery, Directive, Dispatch};
use crate::service::rate;

/// A running call.
pub(crate) struct Run {
    cx: Arc<Context>,
    call: Call,
    work: Work,
    caller: Caller,
    directives: UnboundedReceiver<Directive>,
    in_flight: AttemptsInFlight,
    dispatched: Vec<Dispatched>,
    /// The attempt of which a part has been sent to the caller.
    relayed: Option<AttemptId>,
    pending_retry_reason: Option<RetryReason>,
}

/// A dispatched attempt.
struct Dispatched {
    dispatch: Dispatch,
    first_byte_received: bool,
    response: Option<CompleteResponse>,
}

/// The end of a call's run.
enum Ending {
    Delivered(Delivery),
    Refused(decide::Refusal),
    /// This host refuses the call without a refusal by the decider.
    RefusedLocally(Problem),
    /// The caller disconnected.
    Disconnected,
}

impl Run {
    pub(crate) fn new(
        cx: Arc<Context>,
        call: Call,
        work: Work,
        caller: Caller,
        directives: UnboundedReceiver<Directive>,
    ) -> Self {
        Self {
            cx,
            call,
            work,
            caller,
            directives,
            in_flight: AttemptsInFlight::default(),
            dispatched: Vec::new(),
            relayed: None,
            pending_retry_reason: None,
        }
    }

    /// Runs the call to its end.
    pub(crate) async fn run(mut self, disconnect: Disconnect) {
        let ending = self.perform(disconnect).await;
        self.stop_all();
        self.settle(ending).await;
    }

    async fn perform(&mut self, disconnect: Disconnect) -> Ending {
        // A call that must not run twice continues if its caller disconnects: it may have run
        // already, and a retry with the same key has to find its outcome.
        let outlives_caller =
            self.work.retry_policy() == RetryPolicy::AtMostOnce && self.call.headers.key.is_some();
        let disconnected = async {
            if outlives_caller {
                futures::future::pending::<()>().await;
            }
            disconnect.wait().await;
        }
        .fuse();
        pin_mut!(disconnected);
        loop {
            select_biased! {
                directive = self.directives.next() => {
                    if let Some(ending) = self.apply(directive) {
                        return ending;
                    }
                }
                (id, progress) = self.in_flight.next().fuse() => {
                    if let Some(ending) = self.progress(id, progress).await {
                        return ending;
                    }
                    if self.caller.is_disconnected() && !outlives_caller {
                        return Ending::Disconnected;
                    }
                }
                () = disconnected => return Ending::Disconnected,
            }
        }
    }

    /// Carries out a directive. Returns the end of the run if the directive ends it.
    fn apply(&mut self, directive: Option<Directive>) -> Option<Ending> {
        match directive {
            Some(Directive::Dispatch(dispatch)) => return self.dispatch(dispatch),
            Some(Directive::Cancel(id)) => {
                let stopped = self.in_flight.stop(id);
                attempt::cancel(&self.cx.engine, stopped.into_iter().collect());
            }
            Some(Directive::Sample(id)) => self.sample(id),
            Some(Directive::Deliver(delivery)) => return Some(Ending::Delivered(delivery)),
            Some(Directive::Refuse(refusal)) => return Some(Ending::Refused(refusal)),
            None => {
                let problem = self
                    .call
                    .refusal(Reason::NotReady, "the call was dropped by its host");
                return Some(Ending::RefusedLocally(problem));
            }
        }
        None
    }

    fn dispatch(&mut self, dispatch: Dispatch) -> Option<Ending> {
        let cx = Arc::clone(&self.cx);
        if let Some(problem) = self.stale() {
            cx.decider.cancelled(self.call.number);
            return Some(Ending::RefusedLocally(problem));
        }
        self.count_retry(&dispatch);
        let id = dispatch.attempt;
        if !self.permitted(dispatch.version.as_ref()) {
            // A newer revision came into force after the decision.
            cx.decider.ended(id, Outcome::Denied(Denial::NotLoaded));
            return None;
        }
        let Some(endpoint) = cx.endpoints.get(dispatch.endpoint) else {
            cx.decider.ended(id, Outcome::NotSent);
            return None;
        };
        let engine_attempt = Attempt {
            request: self.call.request.clone(),
            host: cx.host.incarnation(),
            id,
            priority: attempt::priority(dispatch.priority),
        };
        let request = self.call.request.clone();
        cx.ledger_handle
            .handle(ledger::Event::AttemptSending { request });
        let timeouts = self.timeouts(dispatch.timeout);
        let version = dispatch.version.clone();
        let progress = self.work.attempt(
            &cx.engine,
            endpoint.target,
            engine_attempt.clone(),
            version,
            timeouts,
        );
        self.in_flight.start(engine_attempt, endpoint, progress);
        self.dispatched.push(Dispatched {
            dispatch,
            first_byte_received: false,
            response: None,
        });
        None
    }

    /// Returns whether the configuration in force permits new attempts with `version`.
    ///
    /// Guards against use of a version withdrawn between the decision and the dispatch, or
    /// between an attempt and its retry. Checks the configuration in force now, not the revision
    /// of the decision.
    fn permitted(&self, version: Option<&VersionId>) -> bool {
        let snapshot = self.cx.host.current_config.get();
        match (&self.work, version) {
            (Work::Plain(_), _) => true,
            (Work::Chat(_), None) => false,
            (Work::Chat(chat), Some(version)) => {
                let profile = snapshot.document.profiles.get(&chat.profile);
                let allowed = profile.and_then(|it| it.allowed(&self.call.customer));
                snapshot.is_active_version(version)
                    && allowed.is_some_and(|it| it.contains(version))
            }
        }
    }

    fn stale(&self) -> Option<Problem> {
        let profile = self.work.profile()?;
        super::start::stale_refusal(&self.cx.host, &self.call, profile)
    }

    fn timeouts(&self, timeout: Duration) -> Timeouts {
        let settings = &self.cx.host.settings;
        let first_byte = match &self.work {
            Work::Chat(_) => settings.decide.first_byte,
            Work::Plain(plain) => {
                let snapshot = self.cx.host.current_config.get();
                let service = snapshot.document.services.get(&plain.service);
                service.map_or(timeout, |it| it.first_byte)
            }
        };
        Timeouts {
            connect: settings.http.connect,
            first_byte,
            stall: settings.decide.stall,
            total: timeout,
        }
    }

    async fn progress(&mut self, id: AttemptId, progress: Progress) -> Option<Ending> {
        match progress {
            Progress::Text(text) => self.text(id, &text).await,
            Progress::Ended(end) => {
                self.ended(id, end);
                None
            }
        }
    }

    async fn text(&mut self, id: AttemptId, text: &str) -> Option<Ending> {
        // An unstreamed response is sent only once it is complete, so an attempt that is cut off
        // can still be replaced by another one.
        if !self.work.streams() {
            return None;
        }
        let index = self.position(id)?;
        if !self.dispatched[index].first_byte_received {
            self.dispatched[index].first_byte_received = true;
            self.cx.decider.started(id);
            // Carry out the directives that result from the first byte before relaying it: the
            // decider may have chosen another attempt meanwhile.
            while let Ok(directive) = self.directives.try_recv() {
                if let Some(ending) = self.apply(Some(directive)) {
                    return Some(ending);
                }
            }
            self.in_flight.endpoint(id)?;
            if self.relayed.is_none() {
                let after = self.cx.host.now().saturating_sub(self.call.arrived);
                self.cx.host.metrics.first_token(after);
            }
        }
        if self.may_relay(id, index) {
            self.begin_stream(index);
            self.relayed = Some(id);
            self.caller.relay(text).await;
        }
        None
    }

    /// Returns whether text of this attempt may be relayed as it arrives. Once text of one
    /// attempt has been relayed, no other attempt's is.
    fn may_relay(&self, id: AttemptId, index: usize) -> bool {
        self.work.streams()
            && self.dispatched[index].dispatch.relay == Relay::Now
            && self.relayed.is_none_or(|it| it == id)
    }

    fn ended(&mut self, id: AttemptId, end: AttemptEnd) {
        let cx = Arc::clone(&self.cx);
        let stopped = self.in_flight.stop(id);
        cx.host.metrics.attempt_ended(outcome_name(end.outcome));
        if let (Some((_, endpoint)), Some(failure)) = (&stopped, &end.failure) {
            cx.host.log.emit(
                Event::AttemptFailed,
                &[
                    ("request", &self.call.request),
                    ("attempt", &id),
                    ("endpoint", &endpoint.name),
                    ("cause", failure),
                ],
            );
            let state = match end.outcome {
                Outcome::Denied(Denial::Leaving) => Some(State::Leaving),
                Outcome::Denied(Denial::WrongIncarnation) => Some(State::Gone),
                _ => None,
            };
            if let Some(state) = state {
                cx.endpoints
                    .report_state(&endpoint.name, endpoint.target.incarnation, state);
            }
        }
        if end.outcome.not_run() {
            let request = self.call.request.clone();
            cx.ledger_handle
                .handle(ledger::Event::AttemptNotRun { request });
        }
        self.pending_retry_reason = Some(retry_reason(end.outcome));
        if let Some(index) = self.position(id) {
            self.dispatched[index].response = end.response;
        }
        cx.decider.ended(id, end.outcome);
    }

    fn sample(&self, id: AttemptId) {
        let (Work::Chat(chat), Some(index)) = (&self.work, self.position(id)) else {
            return;
        };
        let Dispatched {
            dispatch, response, ..
        } = &self.dispatched[index];
        let (Some(CompleteResponse::Chat(answer)), Some(version)) = (response, &dispatch.version)
        else {
            return;
        };
        if let Some(rate) = self.cx.host.registry.find::<rate::Rate>() {
            // If the queue is full the sample is lost, which is acceptable.
            let _ = rate.offer(clients::Sample {
                request: self.call.request.clone(),
                version: version.clone(),
                profile: chat.profile.clone(),
                class: chat.class.to_string(),
                reply_to: self.cx.host.settings.host.name.clone(),
                prompt: chat.prompt.to_string(),
                answer: answer.content.clone(),
            });
        }
    }

    fn count_retry(&mut self, dispatch: &Dispatch) {
        if dispatch.number <= 1 {
            return;
        }
        let reason = match self.pending_retry_reason.take() {
            Some(reason) => reason,
            None => RetryReason::Hedged,
        };
        self.cx.host.metrics.retried(reason);
    }

    fn position(&self, id: AttemptId) -> Option<usize> {
        let mut dispatched = self.dispatched.iter();
        dispatched.position(|it| it.dispatch.attempt == id)
    }

    fn stop_all(&mut self) {
        let stopped = self.in_flight.stop_all();
        attempt::cancel(&self.cx.engine, stopped);
    }

    fn kind(&self) -> CallKind {
        match &self.work {
            Work::Chat(_) => CallKind::Chat,
            Work::Plain(_) => CallKind::Service,
        }
    }

    /// Returns the old and the new version if the session was moved.
    fn session_move(&self, index: usize) -> Option<String> {
        let (Work::Chat(chat), dispatch) = (&self.work, &self.dispatched[index].dispatch) else {
            return None;
        };
        let (from, to) = (chat.pin.as_ref()?, dispatch.version.as_ref()?);
        (dispatch.session == Session::Moved).then(|| format!("{from} -> {to}"))
    }
}

fn retry_reason(outcome: Outcome) -> RetryReason {
    match outcome {
        Outcome::Answered(_) | Outcome::Served => RetryReason::Escalated,
        Outcome::NotSent => RetryReason::NotSent,
        Outcome::Denied(Denial::NotLoaded) => RetryReason::NotLoaded,
        Outcome::Denied(Denial::Overloaded) => RetryReason::Overloaded,
        Outcome::Denied(Denial::Leaving) => RetryReason::Leaving,
        Outcome::Denied(Denial::WrongIncarnation) => RetryReason::WrongIncarnation,
        Outcome::Failed => RetryReason::Failed,
        Outcome::TimedOut => RetryReason::Timeout,
        Outcome::Cut => RetryReason::Cut,
    }
}

fn outcome_name(outcome: Outcome) -> &'static str {
    match outcome {
        Outcome::Answered(_) => "answered",
        Outcome::Served => "served",
        Outcome::NotSent => "not_sent",
        Outcome::Denied(_) => "denied",
        Outcome::Failed => "failed",
        Outcome::TimedOut => "timed_out",
        Outcome::Cut => "cut",
    }
}
