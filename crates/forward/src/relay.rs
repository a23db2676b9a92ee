//! Forwards a request through another host while this one reaches no endpoint.
//!
//! The other host chooses the endpoint and retries. This host only passes the response on: a
//! request that it sent may have run, so it is sent to a third host only after a response that
//! says that it has not.

use std::net::SocketAddr;
use std::time::Duration;

use async_std::future::timeout;
use framing::{Decoder, Events, response};
use kernel::RequestId;
use route::{Call, Failure};
use telemetry::RelayResult;

use crate::attempt::{BufferedResponse, MAX_BUFFERED_BYTES, promises_not_run};
use crate::caller::Request;
use crate::conn::Conn;
use crate::event_forwarder::EventForwarder;
use crate::response_writer::ResponseWriter;
use crate::serve::Progress;
use crate::upstream::{Upstream, UpstreamError};
use crate::{Dialect, Node, RelayedFields, ResponseFields};

/// A request that is forwarded through another host.
pub(crate) struct Relay<'a, D: Dialect> {
    pub(crate) node: &'a Node<D>,
    pub(crate) request: &'a Request,
    pub(crate) id: &'a RequestId,
    pub(crate) progress: &'a Progress,
    /// The id of the last event that the caller has, or that was buffered for it.
    pub(crate) last_event: &'a mut Option<u64>,
}

/// The outcome of forwarding a request through another host.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RelayOutcome {
    /// The complete response was written to the caller.
    Delivered,
    /// The response couldn't be written to the caller.
    CallerGone,
    /// The request has not run there, and may after this time.
    NotRun { retry_after: Duration },
    /// The request failed. Its response was forwarded if the failure is [`Failure::Passed`].
    Failed(Failure),
}

impl From<RelayOutcome> for RelayResult {
    fn from(outcome: RelayOutcome) -> Self {
        match outcome {
            RelayOutcome::Delivered => Self::Delivered,
            RelayOutcome::CallerGone => Self::CallerGone,
            RelayOutcome::NotRun { .. } => Self::NotRun,
            RelayOutcome::Failed(_) => Self::Failed,
        }
    }
}

/// The request has not run, and the other host doesn't say when to retry.
const NOT_RUN: RelayOutcome = RelayOutcome::NotRun {
    retry_after: Duration::ZERO,
};

impl<D: Dialect> Relay<'_, D> {
    /// Forwards the request through the host at this address for callers.
    pub(crate) async fn run(
        mut self,
        address: SocketAddr,
        call: &mut Call,
        writer: &mut ResponseWriter,
    ) -> RelayOutcome {
        let began = self.node.now();
        let outcome = self.exchange(address, call, writer).await;
        let took = self.node.now().saturating_sub(began);
        let result = RelayResult::from(outcome);
        self.progress.record_relay(address, result, took);
        self.node.recorder.metrics().relay(result);
        outcome
    }

    async fn exchange(
        &mut self,
        address: SocketAddr,
        call: &mut Call,
        writer: &mut ResponseWriter,
    ) -> RelayOutcome {
        let node = self.node;
        let limit = node.timeouts.connect.min(call.time_left(node.now()));
        let Ok(conn) = Conn::open(&*node.connector, address, limit).await else {
            return NOT_RUN;
        };
        let mut upstream = Upstream::to_host(conn, self.encode_request(call));
        let head = timeout(call.time_left(node.now()), self.head(&mut upstream));
        let (head, response_fields) = match head.await {
            Ok(Ok(it)) => it,
            Ok(Err(UpstreamError::NotSent)) => return NOT_RUN,
            Ok(Err(UpstreamError::Broken)) => return RelayOutcome::Failed(Failure::Lost),
            Err(_) => return RelayOutcome::Failed(Failure::Late),
        };
        if promises_not_run(head.status) {
            let retry_after = response_fields.retry_after.unwrap_or_default();
            return RelayOutcome::NotRun { retry_after };
        }
        if head.is_success() && !response_fields.is_signed {
            return RelayOutcome::Failed(Failure::Lost);
        }
        let has_stream =
            head.is_success() && head.status != 204 && self.request.head.method != "HEAD";
        if call.route.is_stream() && has_stream {
            return self.relay_stream(upstream, &head, call, writer).await;
        }
        self.relay_buffered(upstream, head, call, writer).await
    }

    /// Returns the request as it is sent to the other host.
    fn encode_request(&self, call: &Call) -> Vec<u8> {
        let node = self.node;
        let to = RelayedFields {
            time_left: call.time_left(node.now()),
            last_event: *self.last_event,
            body_len: self.request.body.len(),
            relayed: node.router().relayed(call),
        };
        let mut bytes = node.dialect.encode_relayed_head(&self.request.head, &to);
        bytes.extend_from_slice(&self.request.body);
        bytes
    }

    /// Waits for the head of the response. The connection is new, so the response to another
    /// request can't precede it.
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
            if response_fields.id.as_ref() != Some(self.id) {
                return Err(UpstreamError::Broken);
            }
            return Ok((head, response_fields));
        }
    }

    async fn relay_buffered(
        &self,
        mut upstream: Upstream,
        head: response::Head,
        call: &Call,
        writer: &mut ResponseWriter,
    ) -> RelayOutcome {
        let node = self.node;
        let mut buffered = BufferedResponse {
            head,
            body: Vec::new(),
            reservation: node.buffers.reserve(),
        };
        let whole = upstream.body(&mut buffered, MAX_BUFFERED_BYTES);
        match timeout(call.time_left(node.now()), whole).await {
            Ok(Ok(())) => {}
            Ok(Err(_)) => return RelayOutcome::Failed(Failure::Lost),
            Err(_) => return RelayOutcome::Failed(Failure::Late),
        }
        if call.has_started() {
            // This response can't continue the caller's stream.
            return RelayOutcome::Failed(Failure::Lost);
        }
        let is_success = buffered.head.is_success();
        self.progress.first_byte.set(Some(node.now()));
        let sent = writer.send_buffered(&node.dialect, &buffered, node.timeouts.write);
        match (sent.await, is_success) {
            (Ok(()), true) => RelayOutcome::Delivered,
            (Ok(()), false) => RelayOutcome::Failed(Failure::Passed),
            (Err(_), _) => RelayOutcome::CallerGone,
        }
    }

    async fn relay_stream(
        &mut self,
        mut upstream: Upstream,
        head: &response::Head,
        call: &mut Call,
        writer: &mut ResponseWriter,
    ) -> RelayOutcome {
        let node = self.node;
        let mut decoder = Decoder::new(head.length);
        let mut events = Events::default();
        let mut reservation = node.buffers.reserve();
        let mut last_write = None;
        loop {
            let is_valid = upstream.decode(&mut decoder, events.input()).is_ok();
            let mut forwarder = EventForwarder {
                node,
                progress: self.progress,
                last_event: self.last_event,
                reservation: &mut reservation,
            };
            let moved = forwarder.forward(&mut events, head, call, writer);
            if writer.has_pending() {
                forwarder.record_write(&mut last_write);
            }
            if decoder.is_done() && !moved.is_broken && !events.has_unread() {
                if !call.has_started() {
                    call.start_stream();
                    writer.start_stream(&node.dialect, head);
                }
                return match timeout(node.timeouts.write, writer.finish_stream()).await {
                    Ok(Ok(())) => RelayOutcome::Delivered,
                    _ => RelayOutcome::CallerGone,
                };
            }
            if !matches!(
                timeout(node.timeouts.write, writer.flush()).await,
                Ok(Ok(()))
            ) {
                return RelayOutcome::CallerGone;
            }
            if decoder.is_done() || moved.is_broken || !is_valid {
                return RelayOutcome::Failed(Failure::Lost);
            }
            let left = call.time_left(node.now());
            match timeout(left, upstream.advance_body(&mut decoder)).await {
                Ok(Ok(())) => {}
                Ok(Err(_)) => return RelayOutcome::Failed(Failure::Lost),
                Err(_) => return RelayOutcome::Failed(Failure::Late),
            }
        }
    }
}
