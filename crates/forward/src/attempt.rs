//! One attempt: forwards a request to one endpoint and relays the response.

mod guard;
mod stream;

use std::time::Duration;

use async_std::future::timeout;
use framing::response;
use kernel::RequestId;
use route::config::Repeat;
use route::{Call, Ending, Flight, Permit, Placement};
use telemetry::{Connection, Event, Value};

use crate::answer::Answer;
use crate::caller::Request;
use crate::conn::Conn;
use crate::lull::Lull;
use crate::serve::Progress;
use crate::upstream::{Trouble, Upstream};
use crate::{Addressing, Dialect, Node, Told};
use guard::{Guard, Seen};

/// The longest response body that is buffered. Responses that aren't streams are
/// buffered, so that the request can be retried if the connection breaks.
const MAX_WHOLE: usize = 8 * 1024 * 1024;

/// One attempt to forward a request to an endpoint.
pub(crate) struct Attempt<'a, D: Dialect> {
    pub(crate) node: &'a Node<D>,
    pub(crate) request: &'a Request,
    pub(crate) id: &'a RequestId,
    pub(crate) placement: &'a Placement,
    pub(crate) progress: &'a Progress,
    /// The id of the last event that was written to the caller.
    pub(crate) last_event: &'a mut Option<u64>,
}

/// The outcome of an attempt.
pub(crate) enum Result {
    /// The complete response was written to the caller.
    Delivered,
    /// The response couldn't be written to the caller.
    CallerGone,
    /// The attempt ended without a complete response.
    Ended {
        flight: Box<Flight>,
        ending: Ending,
        parked: Option<Whole>,
    },
}

/// A complete response of an endpoint.
pub(crate) struct Whole {
    pub(crate) head: response::Head,
    pub(crate) body: Vec<u8>,
}

/// The outcome of the exchange with the endpoint.
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
            print: call.print,
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
                node.router().cancel(node.now(), flight);
                Result::CallerGone
            }
            Exchange::Ended(ending, parked) => Result::Ended {
                flight: Box::new(flight),
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
        let (conn, connection) = match self.connect(call).await {
            Ok(it) => it,
            Err(ending) => return ending.into(),
        };
        let permit = match self.permit(guard) {
            Ok(it) => it,
            Err(ending) => return ending.into(),
        };
        guard.seen.connection = Some(connection);
        let mut upstream = Upstream::new(conn, self.bytes(call), permit);
        let mut lull = Lull::new(self.node.clock());
        let (head, told) = loop {
            let wait = self.first_wait(call);
            let head = lull.within(wait, self.head(&mut upstream)).await;
            guard.seen.strays = upstream.strays();
            match head {
                Some(Ok(it)) => break it,
                Some(Err(trouble)) => return trouble.ending().into(),
                None if self.gives_up(call) => return Ending::Silent.into(),
                None => {}
            }
        };
        let now = self.node.now();
        guard.seen.status = Some(head.status);
        guard.seen.confidence = told.confidence;
        guard.seen.is_leaving = Some(told.is_leaving);
        if let (Some(load), Some(flight)) = (told.load, &mut guard.flight) {
            self.node.router().load(now, flight, load);
        }
        if told.is_leaving {
            self.leave(guard);
        }
        if let (Some(pause), Some(flight)) = (told.retry_after, &guard.flight) {
            self.node.router().refuse(now, flight, pause);
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
        if call.route.is_stream() && self.has_stream(&head) {
            return self
                .stream(upstream, (&head, &told), call, answer, guard, &mut lull)
                .await;
        }
        self.whole(upstream, head, &told, call, answer, &mut lull)
            .await
    }

    async fn connect(&self, call: &Call) -> std::result::Result<(Conn, Connection), Ending> {
        let (node, placement) = (self.node, self.placement);
        let max_idle = match call.route.repeat {
            Repeat::Idempotent => node.timing.idle,
            Repeat::AtMostOnce => node.timing.warm,
        };
        let now = node.now();
        if let Some(conn) = node.pool.take(now, placement.endpoint, max_idle) {
            return Ok((conn, Connection::Kept));
        }
        let limit = node.timing.connect.min(call.left(now));
        let opened = Conn::open(placement.address, limit).await;
        let took = node.now().saturating_sub(now);
        match opened {
            Ok(conn) => {
                node.recorder.connect(&placement.id, took, &Ok(()));
                Ok((conn, Connection::Opened))
            }
            Err(err) => {
                node.recorder.connect(&placement.id, took, &Err(err));
                Err(Ending::NotSent)
            }
        }
    }

    /// Asks the router whether the request may still be sent, now that the connection is open.
    fn permit(&self, guard: &mut Guard<'_, D>) -> std::result::Result<Permit, Ending> {
        let flight = guard.flight.as_ref().ok_or(Ending::Withheld)?;
        let permit = self.node.router().permit(self.node.now(), flight);
        permit.map_err(|why| {
            self.node.recorder.metrics().withheld(why);
            guard.seen.withheld = Some(why);
            Ending::Withheld
        })
    }

    /// Returns the request as it is sent to the endpoint.
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

    /// Returns how long to wait for the start of the response. If the request may be retried
    /// at another endpoint, the wait ends in time for that; otherwise it lasts until the
    /// request's deadline.
    fn first_wait(&self, call: &Call) -> Duration {
        let left = call.left(self.node.now());
        if may_move(call) && !call.is_held() {
            let part = self.node.timing.first_part;
            left.min(self.node.router().patience(call, part))
        } else {
            left
        }
    }

    /// Returns whether to abandon an endpoint that has sent nothing in time: the deadline has
    /// passed, or a retry was reserved. Otherwise the endpoint is waited for until the deadline.
    fn gives_up(&self, call: &mut Call) -> bool {
        let now = self.node.now();
        if call.left(now).is_zero() || self.node.router().reserve(now, call, Ending::Silent) {
            return true;
        }
        call.hold();
        false
    }

    /// Waits for the head of the response to this request.
    ///
    /// An endpoint may send a response twice. The late duplicate arrives in place of the
    /// response to the next request on the connection, and only its request id differs.
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
            if self.is_head() {
                // Whether the stray response has a body depends on the method of its request,
                // which is unknown here. Parsed as the response to a HEAD, its body would be
                // read as the next response.
                return Err(Trouble::Broken);
            }
            upstream.pass_over(&head)?;
        }
    }

    /// Marks the endpoint as leaving, as its response says, so that it gets no new requests.
    fn leave(&self, guard: &Guard<'_, D>) {
        let Some(flight) = &guard.flight else {
            return;
        };
        if self.node.router().leave(flight) {
            let endpoint = ("endpoint", Value::Text(&self.placement.id));
            self.node.recorder.say(
                Event::EndpointLeaving,
                &[endpoint, ("told_by", Value::Text(&"its answer"))],
            );
        }
    }

    /// Reads the rest of a refusal and returns how the attempt ends.
    async fn refused(&self, mut upstream: Upstream, head: &response::Head, told: &Told) -> Ending {
        /// The time to read the body of a refusal. Without it the connection isn't reused, and
        /// the request is retried all the same.
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
        // If the caller already has part of a stream, a response that isn't a stream means
        // that this endpoint can't resume it.
        let passes = !is_promise(head.status) && !call.has_begun();
        if head.status >= 500 || !passes {
            return Exchange::Ended(Ending::Failed, passes.then_some(Whole { head, body }));
        }
        self.progress.first.set(Some(self.node.now()));
        match answer.whole(&self.node.dialect, &head, &body).await {
            Ok(()) => Exchange::Delivered,
            Err(_) => Exchange::CallerGone,
        }
    }

    fn is_head(&self) -> bool {
        self.request.head.method == "HEAD"
    }

    /// Returns whether a response on a streaming route has a stream: failures, a 204 and the
    /// response to a HEAD have none.
    fn has_stream(&self, head: &response::Head) -> bool {
        head.is_success() && head.status != 204 && !self.is_head()
    }

    /// Returns the connection to the pool if it can be reused. It isn't after a HEAD: a
    /// duplicate of that response would be parsed as one with a body, and the next
    /// response would be read as that body.
    fn keep(&self, upstream: Upstream, head: &response::Head, told: &Told) {
        let may_keep = head.keep && !self.is_head();
        if let (true, Some(conn)) = (may_keep, upstream.into_clean()) {
            let node = self.node;
            node.pool
                .put(node.now(), self.placement.endpoint, conn, told.keeps);
        }
    }
}

/// Returns whether the request may be retried after an endpoint has sent nothing in time.
fn may_move(call: &Call) -> bool {
    call.route.repeat == Repeat::Idempotent && call.attempts() < call.route.attempts
}

/// Returns whether callers take the status to mean that the request has not run. It isn't
/// forwarded from an endpoint that doesn't state this itself and may have run the request.
fn is_promise(status: u16) -> bool {
    matches!(status, 408 | 421 | 429 | 503)
}
