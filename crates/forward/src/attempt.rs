//! One attempt: a request at one endpoint.

mod upstream;

use std::time::Duration;

use async_std::future::timeout;
use framing::{Decoder, Events, response};
use kernel::RequestId;
use route::config::{Answer as Shape, Repeat};
use route::{Call, Ending, Flight, Placement};

use crate::answer::Answer;
use crate::caller::Request;
use crate::conn::Conn;
use crate::lull::Lull;
use crate::serve::Progress;
use crate::{Addressing, Dialect, Node, Told};
use upstream::{Trouble, Upstream};

/// The longest whole answer that is taken, in bytes. Whole answers are kept
/// until their end, so that one that breaks off can be asked for again.
const MAX_WHOLE: usize = 8 * 1024 * 1024;

/// One attempt: a request at one endpoint.
pub(crate) struct Attempt<'a, D: Dialect> {
    pub(crate) node: &'a Node<D>,
    pub(crate) request: &'a Request,
    pub(crate) id: &'a RequestId,
    pub(crate) placement: &'a Placement,
    pub(crate) progress: &'a Progress,
    /// The last event that the caller has.
    pub(crate) last_event: &'a mut Option<u64>,
}

/// How an attempt went.
pub(crate) enum Result {
    /// The caller has the whole answer.
    Delivered,
    /// The caller takes no answer any more.
    CallerGone,
    /// There is no answer yet.
    Ended {
        flight: Flight,
        ending: Ending,
        parked: Option<Whole>,
    },
}

/// An endpoint's whole answer.
pub(crate) struct Whole {
    pub(crate) head: response::Head,
    pub(crate) body: Vec<u8>,
}

/// How the exchange with the endpoint went.
enum Exchange {
    Delivered,
    CallerGone,
    Ended(Ending, Option<Whole>),
}

impl From<Ending> for Exchange {
    fn from(ending: Ending) -> Self {
        Self::Ended(ending, None)
    }
}

impl<D: Dialect> Attempt<'_, D> {
    pub(crate) async fn run(mut self, call: &mut Call, answer: &mut Answer) -> Result {
        let node = self.node;
        let now = node.now();
        let flight = node.router().begin(now, call, self.placement);
        self.progress.attempts.set(call.attempts());
        let mut guard = Guard {
            node,
            id: self.id,
            placement: self.placement,
            progress: self.progress,
            number: call.attempts(),
            began: now,
            left: call.left(now),
            config: node.router().version(),
            seen: Seen::default(),
            flight: Some(flight),
        };
        let exchange = self.exchange(call, answer, &mut guard).await;
        guard.seen.last_event = *self.last_event;
        let ending = match &exchange {
            Exchange::Delivered => Ending::Answered,
            Exchange::CallerGone => Ending::Cancelled,
            Exchange::Ended(ending, _) => *ending,
        };
        let Some(flight) = guard.land(ending) else {
            return Result::CallerGone;
        };
        match exchange {
            Exchange::Delivered => {
                node.router().end(node.now(), call, flight, ending);
                Result::Delivered
            }
            Exchange::CallerGone => {
                node.router().cancel(flight);
                Result::CallerGone
            }
            Exchange::Ended(ending, parked) => Result::Ended {
                flight,
                ending,
                parked,
            },
        }
    }

    async fn exchange(
        &mut self,
        call: &mut Call,
        answer: &mut Answer,
        guard: &mut Guard<'_, D>,
    ) -> Exchange {
        let mut upstream = match self.connect(call).await {
            Ok(conn) => Upstream::new(conn, self.bytes(call)),
            Err(ending) => return ending.into(),
        };
        let mut lull = Lull::new(self.node.clock());
        let (head, told) = loop {
            let wait = self.first_wait(call);
            match lull.within(wait, self.head(&mut upstream)).await {
                Some(Ok(it)) => break it,
                Some(Err(trouble)) => return trouble.ending().into(),
                None if self.gives_up(call) => return Ending::Silent.into(),
                None => {}
            }
        };
        let now = self.node.now();
        guard.seen.status = Some(head.status);
        guard.seen.confidence = told.confidence;
        if let Some(load) = told.load {
            let mut router = self.node.router();
            router.load(now, self.placement.endpoint, load);
        }
        if told.not_run || head.status == 421 {
            return self.refused(upstream, &head, &told).await.into();
        }
        if !told.is_signed && head.is_success() {
            return Ending::Broken.into();
        }
        if let Some(flight) = &mut guard.flight {
            self.node.router().first(now, call, flight);
        }
        if head.is_success() && self.node.router().escalates(now, call, told.confidence) {
            return Ending::Unsure.into();
        }
        if call.route.is_stream() && head.is_success() {
            return self
                .stream(upstream, (&head, &told), call, answer, guard, &mut lull)
                .await;
        }
        self.whole(upstream, head, &told, call, answer, &mut lull)
            .await
    }

    async fn connect(&self, call: &Call) -> std::result::Result<Conn, Ending> {
        let (node, placement) = (self.node, self.placement);
        let max_idle = match call.route.repeat {
            Repeat::Idempotent => node.timing.idle,
            Repeat::AtMostOnce => node.timing.warm,
        };
        let now = node.now();
        if let Some(conn) = node.pool.take(now, placement.endpoint, max_idle) {
            return Ok(conn);
        }
        let limit = node.timing.connect.min(call.left(now));
        let opened = Conn::open(placement.address, limit).await;
        let took = node.now().saturating_sub(now);
        match opened {
            Ok(conn) => {
                node.recorder.connect(&placement.id, took, &Ok(()));
                Ok(conn)
            }
            Err(err) => {
                node.recorder.connect(&placement.id, took, &Err(err));
                Err(Ending::NotSent)
            }
        }
    }

    /// The request as it goes to the endpoint.
    fn bytes(&self, call: &Call) -> Vec<u8> {
        let to = Addressing {
            placement: self.placement,
            customer: call.customer.as_deref().map(|it| &it.name),
            left: call.left(self.node.now()),
            last_event: *self.last_event,
            body_len: self.request.body.len(),
            priority: call.priority(),
        };
        let mut bytes = self.node.dialect.address(&self.request.head, &to);
        bytes.extend_from_slice(&self.request.body);
        bytes
    }

    /// How long the endpoint may take to begin its answer. Where another one
    /// may be asked instead, it is given up in time for that; otherwise its
    /// silence is no reason to end the request sooner.
    fn first_wait(&self, call: &Call) -> Duration {
        let left = call.left(self.node.now());
        if may_move(call) && !call.is_held() {
            let part = self.node.timing.first_part;
            left.min(self.node.router().patience(call, part))
        } else {
            left
        }
    }

    /// Whether a silent endpoint is given up: its time is over, or the request
    /// may go elsewhere. Where it may not, the endpoint is waited for.
    fn gives_up(&self, call: &mut Call) -> bool {
        let now = self.node.now();
        if call.left(now).is_zero() || self.node.router().reserve(now, call, Ending::Silent) {
            return true;
        }
        call.hold();
        false
    }

    /// Waits for the head of the answer to this request.
    ///
    /// An endpoint may send an answer twice, the second one late: it comes
    /// where the next request's answer is expected, and only the id tells.
    async fn head(
        &self,
        upstream: &mut Upstream,
    ) -> std::result::Result<(response::Head, Told), Trouble> {
        loop {
            let head = upstream.head(&self.request.head.method).await?;
            if head.is_informational() {
                continue;
            }
            let told = self.node.dialect.told(&head);
            if told.id.as_ref() == Some(self.id) {
                return Ok((head, told));
            }
            upstream.skip(&head).await?;
        }
    }

    /// Ends an exchange that the endpoint refused.
    async fn refused(&self, mut upstream: Upstream, head: &response::Head, told: &Told) -> Ending {
        /// A refusal has hardly a body; waiting for a lost one helps nobody.
        const LIMIT: Duration = Duration::from_millis(50);
        if let Ok(Ok(())) = timeout(LIMIT, upstream.body(head, &mut Vec::new(), MAX_WHOLE)).await {
            self.keep(upstream, head, told);
        }
        if head.status == 421 {
            Ending::Moved
        } else {
            Ending::Refused
        }
    }

    async fn whole(
        &self,
        mut upstream: Upstream,
        head: response::Head,
        told: &Told,
        call: &Call,
        answer: &mut Answer,
        lull: &mut Lull<'_>,
    ) -> Exchange {
        let mut body = Vec::new();
        let left = call.left(self.node.now());
        let whole = upstream.body(&head, &mut body, MAX_WHOLE);
        match lull.within(left, whole).await {
            Some(Ok(())) => {}
            Some(Err(trouble)) => return trouble.ending().into(),
            None => return Ending::Silent.into(),
        }
        self.keep(upstream, &head, told);
        if head.status >= 500 || is_promise(head.status) {
            let passes = !is_promise(head.status);
            return Exchange::Ended(Ending::Failed, passes.then_some(Whole { head, body }));
        }
        self.progress.first.set(Some(self.node.now()));
        match answer.whole(&self.node.dialect, &head, &body).await {
            Ok(()) => Exchange::Delivered,
            Err(_) => Exchange::CallerGone,
        }
    }

    async fn stream(
        &mut self,
        mut upstream: Upstream,
        (head, told): (&response::Head, &Told),
        call: &mut Call,
        answer: &mut Answer,
        guard: &mut Guard<'_, D>,
        lull: &mut Lull<'_>,
    ) -> Exchange {
        let node = self.node;
        let mut decoder = Decoder::new(head.length);
        let mut events = Events::default();
        let mut passed = None;
        loop {
            if upstream.decode(&mut decoder, events.input()).is_err() {
                return Ending::Broken.into();
            }
            let Some(count) = self.pass_on(&mut events, head, answer) else {
                return Ending::Broken.into();
            };
            if let Some(flight) = &mut guard.flight {
                flight.events(node.now(), count);
            }
            if answer.has_pending() {
                self.note_pause(&mut passed);
            }
            let is_done = decoder.is_done() && !events.has_rest();
            if is_done && answer.status != 0 {
                self.keep(upstream, head, told);
                return match timeout(node.timing.write, answer.finish()).await {
                    Ok(Ok(())) => Exchange::Delivered,
                    _ => Exchange::CallerGone,
                };
            }
            if decoder.is_done() {
                return Ending::Broken.into();
            }
            if answer.has_begun() {
                call.begun = true;
            }
            match timeout(node.timing.write, answer.flush()).await {
                Ok(Ok(())) => {}
                _ => return Exchange::CallerGone,
            }
            match lull.within(self.pause(call), upstream.advance()).await {
                Some(Ok(1..)) => call.release(),
                Some(Ok(0)) if decoder.finish().is_ok() => {}
                Some(_) => return Ending::Broken.into(),
                None if self.gives_up(call) => return Ending::Silent.into(),
                None => {}
            }
        }
    }

    /// Passes on the whole events that are there, each once and in order, and
    /// says how many; nothing where one is missing.
    fn pass_on(
        &mut self,
        events: &mut Events,
        head: &response::Head,
        answer: &mut Answer,
    ) -> Option<u32> {
        let mut count = 0;
        while let Some(event) = events.take() {
            if let (Some(id), Some(last)) = (event.id, *self.last_event) {
                if id <= last {
                    continue;
                }
                if id > last + 1 {
                    return None;
                }
            }
            if answer.status == 0 {
                answer.begin(&self.node.dialect, head);
            }
            answer.event(event.bytes);
            *self.last_event = event.id.or(*self.last_event);
            count += 1;
        }
        Some(count)
    }

    /// Notes when a part of the answer goes out.
    fn note_pause(&self, passed: &mut Option<Duration>) {
        let now = self.node.now();
        let progress = self.progress;
        if progress.first.get().is_none() {
            progress.first.set(Some(now));
        }
        if let Some(last) = passed.replace(now) {
            let pause = now.saturating_sub(last);
            progress.pause.set(progress.pause.get().max(Some(pause)));
        }
    }

    /// How long the next event may take, see [`Self::first_wait`].
    fn pause(&self, call: &Call) -> Duration {
        let left = call.left(self.node.now());
        match call.route.answer {
            Shape::Stream { pause } if may_move(call) && !call.is_held() => {
                left.min(pause.mul_f64(self.node.timing.pause_part))
            }
            _ => left,
        }
    }

    /// Keeps the connection for the next request if nothing speaks against it.
    fn keep(&self, upstream: Upstream, head: &response::Head, told: &Told) {
        if let (true, Some(conn)) = (head.keep, upstream.into_clean()) {
            let node = self.node;
            node.pool
                .put(node.now(), self.placement.endpoint, conn, told.keeps);
        }
    }
}

/// Whether another endpoint may be asked instead of a silent one.
fn may_move(call: &Call) -> bool {
    call.route.repeat == Repeat::Idempotent && call.attempts() < call.route.attempts
}

/// Whether a status tells callers that the request has not run. An endpoint
/// that sends one without saying so itself may have run it.
fn is_promise(status: u16) -> bool {
    matches!(status, 408 | 421 | 429 | 503)
}

/// Ends the flight when the caller leaves and the attempt is dropped.
struct Guard<'a, D: Dialect> {
    node: &'a Node<D>,
    id: &'a RequestId,
    placement: &'a Placement,
    progress: &'a Progress,
    number: u32,
    began: Duration,
    left: Duration,
    config: Option<u64>,
    seen: Seen,
    flight: Option<Flight>,
}

/// What came of an attempt's answer.
#[derive(Debug, Default)]
struct Seen {
    status: Option<u16>,
    confidence: Option<u8>,
    last_event: Option<u64>,
}

impl<D: Dialect> Guard<'_, D> {
    /// Reports the attempt's end and gives the flight back.
    fn land(&mut self, ending: Ending) -> Option<Flight> {
        let flight = self.flight.take()?;
        let took = self.node.now().saturating_sub(self.began);
        self.progress.note(self.placement, ending, took);
        self.node.recorder.attempt(&telemetry::Attempt {
            id: self.id,
            number: self.number,
            placement: self.placement,
            ending,
            took,
            left: self.left,
            config: self.config,
            confidence: self.seen.confidence,
            last_event: self.seen.last_event,
            status: self.seen.status,
        });
        Some(flight)
    }
}

impl<D: Dialect> Drop for Guard<'_, D> {
    fn drop(&mut self) {
        if let Some(flight) = self.land(Ending::Cancelled) {
            self.node.router().cancel(flight);
        }
    }
}
