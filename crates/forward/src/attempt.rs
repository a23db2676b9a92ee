//! One attempt: forwards a request to one endpoint and relays the response.

mod connect;
mod guard;
mod status;
mod stream;

use std::sync::Arc;
use std::time::Duration;

use async_std::future::timeout;
use framing::response;
use kernel::RequestId;
use route::config::RetryPolicy;
use route::{Call, Ending, InFlight, Permit, Placement};

use crate::buffers::Reservation;
use crate::caller::Request;
use crate::lazy_timeout::LazyTimeout;
use crate::response_writer::ResponseWriter;
use crate::serve::Progress;
use crate::upstream::{Upstream, UpstreamError};
use crate::{Dialect, ForwardedFields, Node, ResponseFields};
use guard::{AttemptDetails, AttemptGuard};

/// The longest response body that isn't a stream; an attempt with a longer one ends as
/// [`Ending::Broken`]. Such responses are buffered, so that the request can be retried if
/// the connection breaks.
pub(crate) const MAX_BUFFERED_BYTES: usize = 8 * 1024 * 1024;

/// One attempt to forward a request to an endpoint.
pub(crate) struct Attempt<'a, D: Dialect> {
    pub(crate) node: &'a Node<D>,
    pub(crate) request: &'a Request,
    pub(crate) id: &'a RequestId,
    pub(crate) placement: &'a Placement,
    pub(crate) progress: &'a Progress,
    /// The id of the last event that the caller has, or that was buffered for it.
    pub(crate) last_event: &'a mut Option<u64>,
}

/// The outcome of an attempt.
pub(crate) enum AttemptOutcome {
    /// The complete response was written to the caller.
    Delivered,
    /// The response couldn't be written to the caller.
    CallerGone,
    /// The attempt ended without a response to deliver.
    Ended {
        in_flight: Box<InFlight>,
        ending: Ending,
        /// The endpoint's error response, if it may be forwarded.
        error_response: Option<BufferedResponse>,
    },
}

/// A complete response of an endpoint.
pub(crate) struct BufferedResponse {
    pub(crate) head: response::Head,
    pub(crate) body: Vec<u8>,
    /// The memory that the body takes.
    pub(crate) reservation: Reservation,
}

/// The outcome of the exchange with the endpoint.
enum ExchangeOutcome {
    Delivered,
    CallerGone,
    Ended(Ending, Option<BufferedResponse>),
}

impl From<Ending> for ExchangeOutcome {
    fn from(ending: Ending) -> Self {
        Self::Ended(ending, None)
    }
}

impl<D: Dialect> Attempt<'_, D> {
    pub(crate) async fn run(
        mut self,
        call: &mut Call,
        writer: &mut ResponseWriter,
    ) -> AttemptOutcome {
        let node = self.node;
        let now = node.now();
        let in_flight = node.router().begin_attempt(now, call, self.placement);
        self.progress.attempts.set(call.attempts());
        let mut guard = AttemptGuard {
            node,
            id: self.id,
            fingerprint: call.fingerprint,
            parts: Arc::clone(&call.profile.parts),
            placement: self.placement,
            progress: self.progress,
            number: call.attempts(),
            began: now,
            time_left: call.time_left(now),
            config_version: node.router().version(),
            details: AttemptDetails::default(),
            in_flight: Some(in_flight),
        };
        let exchange = self.exchange(call, writer, &mut guard).await;
        guard.details.last_event = *self.last_event;
        let ending = match &exchange {
            ExchangeOutcome::Delivered => Ending::Answered,
            ExchangeOutcome::CallerGone => Ending::Cancelled,
            ExchangeOutcome::Ended(ending, _) => *ending,
        };
        let Some(in_flight) = guard.finish(ending) else {
            return AttemptOutcome::CallerGone;
        };
        match exchange {
            ExchangeOutcome::Delivered => {
                node.router()
                    .end_attempt(node.now(), call, in_flight, ending);
                AttemptOutcome::Delivered
            }
            ExchangeOutcome::CallerGone => {
                node.router().cancel_attempt(node.now(), in_flight);
                AttemptOutcome::CallerGone
            }
            ExchangeOutcome::Ended(ending, error_response) => AttemptOutcome::Ended {
                in_flight: Box::new(in_flight),
                ending,
                error_response,
            },
        }
    }

    async fn exchange(
        &mut self,
        call: &mut Call,
        writer: &mut ResponseWriter,
        guard: &mut AttemptGuard<'_, D>,
    ) -> ExchangeOutcome {
        let (conn, connection) = match self.connect(call, guard).await {
            Ok(it) => it,
            Err(ending) => return ending.into(),
        };
        let permit = match self.permit(guard) {
            Ok(it) => it,
            Err(ending) => return ending.into(),
        };
        guard.details.connection = Some(connection);
        let mut upstream = Upstream::new(conn, self.encode_request(call), permit);
        let mut lazy_timeout = LazyTimeout::new(self.node.clock());
        let (head, response_fields) = loop {
            let wait = self.response_start_timeout(call);
            let head = lazy_timeout.within(wait, self.head(&mut upstream)).await;
            guard.details.strays = upstream.strays();
            match head {
                Some(Ok(it)) => break it,
                Some(Err(err)) => return err.ending().into(),
                None if self.try_abandon(call) => return Ending::TimedOut.into(),
                None => {}
            }
        };
        let now = self.node.now();
        self.record_status(&head, &response_fields, guard);
        if response_fields.not_run || head.status == 421 {
            return self
                .handle_refusal(upstream, &head, &response_fields)
                .await
                .into();
        }
        if !response_fields.is_signed && head.is_success() {
            return Ending::Broken.into();
        }
        if let Some(in_flight) = &mut guard.in_flight {
            self.node.router().response_started(now, call, in_flight);
        }
        if head.is_success()
            && self
                .node
                .router()
                .try_escalate(now, call, response_fields.confidence)
        {
            return Ending::LowConfidence.into();
        }
        if call.route.is_stream() && self.has_stream(&head) {
            return self
                .relay_stream(
                    upstream,
                    (&head, &response_fields),
                    call,
                    writer,
                    guard,
                    &mut lazy_timeout,
                )
                .await;
        }
        self.relay_buffered(
            upstream,
            head,
            &response_fields,
            call,
            writer,
            &mut lazy_timeout,
        )
        .await
    }

    /// Asks the router whether the request may still be sent, now that the connection is open.
    fn permit(&self, guard: &mut AttemptGuard<'_, D>) -> Result<Permit, Ending> {
        let in_flight = guard.in_flight.as_ref().ok_or(Ending::Withheld)?;
        let now = self.node.now();
        guard.details.rate_limit = self.node.router().rate_limit(in_flight);
        guard.details.slowness = self.node.router().slowness(now, in_flight);
        let permit = self.node.router().permit(now, in_flight);
        permit.map_err(|why| {
            self.node.recorder.metrics().withheld(why);
            guard.details.withheld = Some(why);
            Ending::Withheld
        })
    }

    /// Returns the request as it is sent to the endpoint.
    fn encode_request(&self, call: &Call) -> Vec<u8> {
        let now = self.node.now();
        let to = ForwardedFields {
            placement: self.placement,
            customer: call.customer.as_deref().map(|it| &it.name),
            time_left: call.time_left(now),
            last_event: *self.last_event,
            body_len: self.request.body.len(),
            priority: self.node.router().request_priority(now, call),
        };
        let mut bytes = self.node.dialect.encode_head(&self.request.head, &to);
        bytes.extend_from_slice(&self.request.body);
        bytes
    }

    /// Returns how long to wait for the start of the response: until the request's deadline,
    /// and no longer than [`route::Router::response_timeout`] if the request may be retried at
    /// another endpoint and no retry was denied.
    fn response_start_timeout(&self, call: &Call) -> Duration {
        let left = call.time_left(self.node.now());
        if may_retry_elsewhere(call) && !call.is_retry_denied() {
            let fraction = self.node.timeouts.response_start_fraction;
            left.min(self.node.router().response_timeout(call, fraction))
        } else {
            left
        }
    }

    /// Decides whether to abandon an endpoint that has sent nothing in time. It is abandoned
    /// if the deadline has passed or a retry could be reserved from the budget. Otherwise
    /// records that the retry is denied, and the wait goes on until the endpoint sends data or
    /// the deadline passes.
    fn try_abandon(&self, call: &mut Call) -> bool {
        let now = self.node.now();
        if call.time_left(now).is_zero()
            || self
                .node
                .router()
                .reserve_retry(now, call, Ending::TimedOut)
        {
            return true;
        }
        call.deny_retry();
        false
    }

    /// Waits for the head of the response to this request.
    ///
    /// An endpoint may send a response twice, and the duplicate may arrive after the next
    /// request was sent on the connection. It is recognised by its request id and skipped.
    async fn head(
        &self,
        upstream: &mut Upstream,
    ) -> Result<(response::Head, ResponseFields), UpstreamError> {
        loop {
            let head = upstream.head(&self.request.head.method).await?;
            if head.is_informational() {
                continue;
            }
            let response_fields = self.node.dialect.parse_response(&head);
            if response_fields.id.as_ref() == Some(self.id) {
                return Ok((head, response_fields));
            }
            if self.is_head() {
                // Whether the stray response has a body depends on the method of its request,
                // which is unknown here. Parsed as the response to a HEAD, its body would be
                // read as the next response.
                return Err(UpstreamError::Broken);
            }
            upstream.start_skipping(&head)?;
        }
    }

    /// Reads the rest of a refusal and returns how the attempt ends.
    async fn handle_refusal(
        &self,
        mut upstream: Upstream,
        head: &response::Head,
        response_fields: &ResponseFields,
    ) -> Ending {
        /// The limit on reading the body of a refusal, after which the connection isn't reused.
        const REFUSAL_BODY_TIMEOUT: Duration = Duration::from_millis(50);
        let mut refusal = self.buffer(head.clone());
        let whole = upstream.body(&mut refusal, MAX_BUFFERED_BYTES);
        if let Ok(Ok(())) = timeout(REFUSAL_BODY_TIMEOUT, whole).await {
            self.return_to_pool(upstream, head, response_fields);
        }
        if head.status == 421 {
            Ending::Misdirected
        } else {
            Ending::Refused
        }
    }

    async fn relay_buffered(
        &self,
        mut upstream: Upstream,
        head: response::Head,
        response_fields: &ResponseFields,
        call: &Call,
        writer: &mut ResponseWriter,
        lazy_timeout: &mut LazyTimeout<'_>,
    ) -> ExchangeOutcome {
        let mut buffered = self.buffer(head);
        let left = call.time_left(self.node.now());
        let whole = upstream.body(&mut buffered, MAX_BUFFERED_BYTES);
        match lazy_timeout.within(left, whole).await {
            Some(Ok(())) => {}
            Some(Err(err)) => return err.ending().into(),
            None => return Ending::TimedOut.into(),
        }
        let head = &buffered.head;
        self.return_to_pool(upstream, head, response_fields);
        // If the caller already has part of a stream, a response that isn't a stream means
        // that this endpoint can't resume it.
        let may_forward = !promises_not_run(head.status) && !call.has_started();
        if head.status >= 500 || !may_forward {
            return ExchangeOutcome::Ended(Ending::Failed, may_forward.then_some(buffered));
        }
        self.progress.first_byte.set(Some(self.node.now()));
        let sent = writer.send_buffered(&self.node.dialect, &buffered, self.node.timeouts.write);
        match sent.await {
            Ok(()) => ExchangeOutcome::Delivered,
            Err(_) => ExchangeOutcome::CallerGone,
        }
    }

    /// Returns a response whose body is still to be read.
    fn buffer(&self, head: response::Head) -> BufferedResponse {
        BufferedResponse {
            head,
            body: Vec::new(),
            reservation: self.node.buffers.reserve(),
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

    /// Returns the connection to the pool if it can be reused.
    ///
    /// A connection isn't reused after a HEAD. A duplicate of the response would be parsed as
    /// the response to the next request; if that is a GET, a body would be expected after it,
    /// and the valid response would be read as that body.
    fn return_to_pool(
        &self,
        upstream: Upstream,
        head: &response::Head,
        response_fields: &ResponseFields,
    ) {
        let may_keep = head.keep_alive && !self.is_head();
        if let (true, Some(conn)) = (may_keep, upstream.into_clean()) {
            let node = self.node;
            node.pool.put(
                node.now(),
                self.placement.endpoint,
                conn,
                response_fields.keep_alive,
                &node.connections,
            );
        }
    }
}

/// Returns whether the request may be retried after an endpoint has sent nothing in time.
fn may_retry_elsewhere(call: &Call) -> bool {
    call.route.retry_policy == RetryPolicy::Idempotent && call.attempts() < call.route.attempts
}

/// Returns whether callers take the status to mean that the request has not run. An endpoint
/// that sends it without the not-run field may have run the request.
pub(crate) fn promises_not_run(status: u16) -> bool {
    matches!(status, 408 | 421 | 429 | 503)
}
