//! Relays streams event by event, and resumes them after the last complete event.

use std::time::Duration;

use async_std::future::timeout;
use framing::{Decoder, Events, response};
use route::config::ResponseKind;
use route::{Call, Ending};

use super::guard::AttemptGuard;
use super::{Attempt, ExchangeOutcome, may_retry_elsewhere};
use crate::lazy_timeout::LazyTimeout;
use crate::response_writer::ResponseWriter;
use crate::upstream::Upstream;
use crate::{Dialect, ResponseFields};

/// The result of forwarding the buffered events.
#[derive(Clone, Copy, Debug, Default)]
struct Forwarded {
    count: u32,
    /// Whether the id of the next event shows that events are missing.
    has_gap: bool,
}

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
        let mut last_write = None;
        loop {
            let is_valid = upstream.decode(&mut decoder, events.input()).is_ok();
            let Forwarded { count, has_gap } = self.forward_events(&mut events, head, call, writer);
            if let Some(in_flight) = &mut guard.in_flight {
                in_flight.events(node.now(), count);
            }
            if writer.has_pending() {
                self.record_write(&mut last_write);
            }
            let is_done = decoder.is_done() && !has_gap && !events.has_unread();
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
            if decoder.is_done() || has_gap || !is_valid {
                return Ending::Broken.into();
            }
            match lazy_timeout
                .within(self.event_timeout(call), upstream.advance())
                .await
            {
                Some(Ok(1..)) => call.clear_denied_retry(),
                Some(Ok(0)) if decoder.finish().is_ok() => {}
                Some(_) => return Ending::Broken.into(),
                None if self.try_abandon(call) => return Ending::TimedOut.into(),
                None => {}
            }
        }
    }

    /// Moves the complete events from the input buffer to the output buffer of `writer`, each
    /// once and in order, and stops before a gap in the event ids.
    fn forward_events(
        &mut self,
        events: &mut Events,
        head: &response::Head,
        call: &mut Call,
        writer: &mut ResponseWriter,
    ) -> Forwarded {
        let mut forwarded = Forwarded::default();
        while let Some(event) = events.take() {
            if let (Some(id), Some(last)) = (event.id, *self.last_event) {
                if id <= last {
                    continue;
                }
                if id > last + 1 {
                    forwarded.has_gap = true;
                    return forwarded;
                }
            }
            if !call.has_started() {
                call.start_stream();
                writer.start_stream(&self.node.dialect, head);
            }
            writer.push_event(event.bytes);
            let events = &self.progress.events;
            events.set(events.get() + 1);
            *self.last_event = event.id.or(*self.last_event);
            forwarded.count += 1;
        }
        forwarded
    }

    /// Records that a part of the response is about to be written, and the pause since the
    /// previous part.
    fn record_write(&self, last_write: &mut Option<Duration>) {
        let now = self.node.now();
        let progress = self.progress;
        if progress.first_byte.get().is_none() {
            progress.first_byte.set(Some(now));
        }
        if let Some(last) = last_write.replace(now) {
            let pause = now.saturating_sub(last);
            progress
                .max_pause
                .set(progress.max_pause.get().max(Some(pause)));
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
