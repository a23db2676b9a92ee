//! The run of a permitted call: it performs what the decider says, owns the
//! way back to the caller, and settles the call with the ledger.

mod settle;

use std::sync::Arc;
use std::time::Duration;

use decide::Outcome;
use decide::action::{Relay, Session};
use decide::endpoint::State;
use decide::outcome::Denial;
use decide::policy::Repeat;
use engine::Attempt;
use futures::channel::mpsc::UnboundedReceiver;
use futures::{FutureExt, StreamExt, pin_mut, select_biased};
use gate::problem::{Problem, Reason};
use http::Disconnect;
use kernel::{AttemptId, VersionId};

use super::Call;
use super::attempt::{self, End, Product, Progress, Running, Times};
use super::caller::Caller;
use super::work::Work;
use crate::context::Context;
use crate::event::Event;
use crate::metrics::{Kind, Retry};
use crate::service::decide::{Delivery, Directive, Dispatch};
use crate::service::rate;

/// A permitted call on its way.
pub(crate) struct Run {
    cx: Arc<Context>,
    call: Call,
    work: Work,
    caller: Caller,
    directives: UnboundedReceiver<Directive>,
    running: Running,
    dispatched: Vec<Dispatched>,
    /// The attempt of which something was sent to the caller.
    relayed: Option<AttemptId>,
    last_failure: Option<Retry>,
}

/// An attempt that was dispatched.
struct Dispatched {
    dispatch: Dispatch,
    begun: bool,
    product: Option<Product>,
}

/// How the run of a call ends.
enum Ending {
    Delivered(Delivery),
    Refused(decide::Refusal),
    /// This host refuses by itself.
    Stopped(Problem),
    Gone,
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
            running: Running::default(),
            dispatched: Vec::new(),
            relayed: None,
            last_failure: None,
        }
    }

    /// Runs the call to its end.
    pub(crate) async fn run(mut self, disconnect: Disconnect) {
        let ending = self.perform(disconnect).await;
        self.stop_all();
        self.settle(ending).await;
    }

    async fn perform(&mut self, disconnect: Disconnect) -> Ending {
        // A call that must not run twice is not given up with its caller: it
        // may have run already, and a repeat of its key is to find its outcome.
        let stays = self.work.repeat() == Repeat::AtMostOnce && self.call.headers.key.is_some();
        let gone = async {
            if stays {
                futures::future::pending::<()>().await;
            }
            disconnect.wait().await;
        }
        .fuse();
        pin_mut!(gone);
        loop {
            select_biased! {
                directive = self.directives.next() => {
                    if let Some(ending) = self.direct(directive) {
                        return ending;
                    }
                }
                (id, progress) = self.running.next().fuse() => {
                    if let Some(ending) = self.progress(id, progress).await {
                        return ending;
                    }
                    if self.caller.is_gone() && !stays {
                        return Ending::Gone;
                    }
                }
                () = gone => return Ending::Gone,
            }
        }
    }

    /// Does what the decider says; returns how the call ends, once it does.
    fn direct(&mut self, directive: Option<Directive>) -> Option<Ending> {
        match directive {
            Some(Directive::Dispatch(dispatch)) => return self.dispatch(dispatch),
            Some(Directive::Cancel(id)) => {
                let stopped = self.running.stop(id);
                attempt::cancel(&self.cx.engine, stopped.into_iter().collect());
            }
            Some(Directive::Sample(id)) => self.sample(id),
            Some(Directive::Deliver(delivery)) => return Some(Ending::Delivered(delivery)),
            Some(Directive::Refuse(refusal)) => return Some(Ending::Refused(refusal)),
            None => {
                let problem = self
                    .call
                    .refuse(Reason::NotReady, "the call was dropped by its host");
                return Some(Ending::Stopped(problem));
            }
        }
        None
    }

    fn dispatch(&mut self, dispatch: Dispatch) -> Option<Ending> {
        let cx = Arc::clone(&self.cx);
        if let Some(problem) = self.stale() {
            cx.decide.cancelled(self.call.number);
            return Some(Ending::Stopped(problem));
        }
        self.count_retry(&dispatch);
        let id = dispatch.attempt;
        if !self.permitted(dispatch.version.as_ref()) {
            // A newer revision came into force after the decision.
            cx.decide.ended(id, Outcome::Denied(Denial::NotLoaded));
            return None;
        }
        let Some(endpoint) = cx.endpoints.get(dispatch.endpoint) else {
            cx.decide.ended(id, Outcome::NotSent);
            return None;
        };
        let name = Attempt {
            request: self.call.request.clone(),
            host: cx.host.incarnation(),
            id,
            priority: attempt::priority(dispatch.priority),
        };
        let request = self.call.request.clone();
        cx.books.handle(ledger::Event::Sending { request });
        let times = self.times(dispatch.timeout);
        let version = dispatch.version.clone();
        let progress = self
            .work
            .attempt(&cx.engine, endpoint.at, name.clone(), version, times);
        self.running.start(name, endpoint, progress);
        self.dispatched.push(Dispatched {
            dispatch,
            begun: false,
            product: None,
        });
        None
    }

    /// Whether the newest configuration known lets new work go to `version`.
    ///
    /// Failure: a version is withdrawn between the decision and the dispatch,
    /// or between an attempt and its retry. The check is against what is in
    /// force now, not against the revision of the decision.
    fn permitted(&self, version: Option<&VersionId>) -> bool {
        let snapshot = self.cx.host.current.get();
        match (&self.work, version) {
            (Work::Plain(_), _) => true,
            (Work::Chat(_), None) => false,
            (Work::Chat(chat), Some(version)) => {
                let profile = snapshot.document.profiles.get(&chat.profile);
                let allowed = profile.and_then(|it| it.allowed(&self.call.customer));
                snapshot.in_service(version) && allowed.is_some_and(|it| it.contains(version))
            }
        }
    }

    fn stale(&self) -> Option<Problem> {
        let profile = self.work.profile()?;
        super::start::stale(&self.cx.host, &self.call, profile)
    }

    fn times(&self, timeout: Duration) -> Times {
        let settings = &self.cx.host.settings;
        let first_byte = match &self.work {
            Work::Chat(_) => settings.decide.first_byte,
            Work::Plain(plain) => {
                let snapshot = self.cx.host.current.get();
                let service = snapshot.document.services.get(&plain.service);
                service.map_or(timeout, |it| it.first_byte)
            }
        };
        Times {
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
        // What a caller gets in one piece may still be replaced: an attempt that
        // breaks off before its end is no answer that was cut.
        if !self.work.streams() {
            return None;
        }
        let at = self.position(id)?;
        if !self.dispatched[at].begun {
            self.dispatched[at].begun = true;
            self.cx.decide.started(id);
            // What follows from it comes before the byte: the decider may
            // have chosen another attempt meanwhile.
            while let Ok(directive) = self.directives.try_recv() {
                if let Some(ending) = self.direct(Some(directive)) {
                    return Some(ending);
                }
            }
            self.running.endpoint(id)?;
            if self.relayed.is_none() {
                let after = self.cx.host.now().saturating_sub(self.call.arrived);
                self.cx.host.metrics.first_token(after);
            }
        }
        if self.may_relay(id, at) {
            self.begin_stream(at);
            self.relayed = Some(id);
            self.caller.relay(text).await;
        }
        None
    }

    /// Whether text of this attempt may go out as it comes. Once something of
    /// one attempt went out, nothing of another ever does.
    fn may_relay(&self, id: AttemptId, at: usize) -> bool {
        self.work.streams()
            && self.dispatched[at].dispatch.relay == Relay::Now
            && self.relayed.is_none_or(|it| it == id)
    }

    fn ended(&mut self, id: AttemptId, end: End) {
        let cx = Arc::clone(&self.cx);
        let stopped = self.running.stop(id);
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
                    .learn(&endpoint.name, endpoint.at.incarnation, state);
            }
        }
        if end.outcome.not_run() {
            let request = self.call.request.clone();
            cx.books.handle(ledger::Event::Returned { request });
        }
        self.last_failure = Some(retry(end.outcome));
        if let Some(at) = self.position(id) {
            self.dispatched[at].product = end.product;
        }
        cx.decide.ended(id, end.outcome);
    }

    fn sample(&self, id: AttemptId) {
        let (Work::Chat(chat), Some(at)) = (&self.work, self.position(id)) else {
            return;
        };
        let Dispatched {
            dispatch, product, ..
        } = &self.dispatched[at];
        let (Some(Product::Chat(answer)), Some(version)) = (product, &dispatch.version) else {
            return;
        };
        if let Some(rate) = self.cx.host.registry.find::<rate::Rate>() {
            // A full queue costs a rating, and ratings are samples anyway.
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
        let reason = match self.last_failure.take() {
            Some(reason) => reason,
            None => Retry::Hedged,
        };
        self.cx.host.metrics.retried(reason);
    }

    fn position(&self, id: AttemptId) -> Option<usize> {
        let mut dispatched = self.dispatched.iter();
        dispatched.position(|it| it.dispatch.attempt == id)
    }

    fn stop_all(&mut self) {
        let stopped = self.running.stop_all();
        attempt::cancel(&self.cx.engine, stopped);
    }

    fn kind(&self) -> Kind {
        match &self.work {
            Work::Chat(_) => Kind::Chat,
            Work::Plain(_) => Kind::Service,
        }
    }

    /// From which version to which the session moved.
    fn moved(&self, at: usize) -> Option<String> {
        let (Work::Chat(chat), dispatch) = (&self.work, &self.dispatched[at].dispatch) else {
            return None;
        };
        let (from, to) = (chat.pin.as_ref()?, dispatch.version.as_ref()?);
        (dispatch.session == Session::Moved).then(|| format!("{from} -> {to}"))
    }
}

fn retry(outcome: Outcome) -> Retry {
    match outcome {
        Outcome::Answered(_) | Outcome::Served => Retry::Escalated,
        Outcome::NotSent => Retry::NotSent,
        Outcome::Denied(Denial::NotLoaded) => Retry::NotLoaded,
        Outcome::Denied(Denial::Overloaded) => Retry::Overloaded,
        Outcome::Denied(Denial::Leaving) => Retry::Leaving,
        Outcome::Denied(Denial::WrongIncarnation) => Retry::WrongIncarnation,
        Outcome::Failed => Retry::Failed,
        Outcome::TimedOut => Retry::Timeout,
        Outcome::Cut => Retry::Cut,
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
