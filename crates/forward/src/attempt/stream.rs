//! Relays streams event by event, and resumes them after the last complete event.

use std::time::Duration;

use async_std::future::timeout;
use framing::{Decoder, Events, response};
use route::config::ResponseKind;
use route::{Call, Ending};

use super::guard::AttemptGuard;
use super::{Attempt, ExchangeOutcome, may_retry_elsewhere};
use crate::event_forwarder::{EventForwarder, Forwarded};
use crate::lazy_timeout::LazyTimeout;
use crate::response_writer::ResponseWriter;
use crate::upstream::Upstream;
use crate::{Dialect, ResponseFields};

impl<D: Dialect> Attempt<'_, D> {
    /// Relays a stream until it ends or this endpoint can't continue it.
    pub(super) async fn relay_stream(
        &mut self,
        mut upstream: Upstream,
        (head, response_fields): (&response::Head, &ResponseFields),
        call: &mut Call,
        writer: &mut ResponseWriter,
        guard: &mut AttemptGuard<'_, D>,
        lazy_timeout: &mut LazyTimeout<'_>,
    ) -> ExchangeOutcome {
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
            let Forwarded { count, is_broken } = forwarder.forward(&mut events, head, call, writer);
            if writer.has_pending() {
                forwarder.record_write(&mut last_write);
            }
            if let Some(in_flight) = &mut guard.in_flight {
                in_flight.events(node.now(), count);
            }
            let is_done = decoder.is_done() && !is_broken && !events.has_unread();
            // A resumed stream may have no further events: the caller has the last one.
            if is_done && (call.has_started() || self.last_event.is_some()) {
                if !call.has_started() {
                    call.start_stream();
                    writer.start_stream(&node.dialect, head);
                }
                self.return_to_pool(upstream, head, response_fields);
                return match timeout(node.timeouts.write, writer.finish_stream()).await {
                    Ok(Ok(())) => ExchangeOutcome::Delivered,
                    _ => ExchangeOutcome::CallerGone,
                };
            }
            match timeout(node.timeouts.write, writer.flush()).await {
                Ok(Ok(())) => {}
                _ => return ExchangeOutcome::CallerGone,
            }
            if decoder.is_done() || is_broken || !is_valid {
                return Ending::Broken.into();
            }
            match lazy_timeout
                .within(
                    self.event_timeout(call),
                    upstream.advance_body(&mut decoder),
                )
                .await
            {
                Some(Ok(())) => call.clear_denied_retry(),
                Some(Err(err)) => return err.ending().into(),
                None if self.try_abandon(call) => return Ending::TimedOut.into(),
                None => {}
            }
        }
    }

    /// Returns how long to wait for the next event: until the request's deadline, and no longer
    /// than a fraction of the route's pause if the request may be retried at another endpoint and
    /// no retry was denied.
    fn event_timeout(&self, call: &Call) -> Duration {
        let left = call.time_left(self.node.now());
        match call.route.response {
            ResponseKind::Stream { pause }
                if may_retry_elsewhere(call) && !call.is_retry_denied() =>
            {
                left.min(pause.mul_f64(self.node.timeouts.pause_fraction))
            }
            _ => left,
        }
    }
}
