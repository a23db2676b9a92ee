//! Forwards the events of a stream to the caller, each once and in order.

use std::time::Duration;

use framing::{Events, response};
use route::Call;

use crate::buffers::Reservation;
use crate::response_writer::ResponseWriter;
use crate::serve::Progress;
use crate::{Dialect, Node};

/// The most bytes of an event. Without a limit, bytes that contain no event would fill the host's
/// memory for as long as an endpoint sends them.
const MAX_EVENT_BYTES: usize = 1024 * 1024;
/// The bytes of an incomplete event for which no memory is reserved, so that usual streams go on
/// when bodies take all memory.
const UNRESERVED_EVENT_BYTES: usize = 16 * 1024;

/// Forwards the events of one response to the caller.
pub(crate) struct EventForwarder<'a, D> {
    pub(crate) node: &'a Node<D>,
    pub(crate) progress: &'a Progress,
    /// The id of the last event that the caller has, or that was buffered for it.
    pub(crate) last_event: &'a mut Option<u64>,
    /// The memory that the incomplete event takes.
    pub(crate) reservation: &'a mut Reservation,
}

/// The result of forwarding the buffered events.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Forwarded {
    pub(crate) count: u32,
    /// Whether no later event can be forwarded: the id of the next one shows that events are
    /// missing, the next one is too long, or there is no memory for it.
    pub(crate) is_broken: bool,
}

impl<D: Dialect> EventForwarder<'_, D> {
    /// Moves the complete events from the input buffer to the output buffer of `writer`, each
    /// once and in order, and stops before a gap in the event ids.
    pub(crate) fn forward(
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
                    forwarded.is_broken = true;
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
        let unread = events.unread_len();
        let reserved = unread.saturating_sub(UNRESERVED_EVENT_BYTES);
        forwarded.is_broken = unread > MAX_EVENT_BYTES || !self.reservation.try_resize(reserved);
        forwarded
    }

    /// Records that a part of the response is about to be written, and the pause since the
    /// previous part.
    pub(crate) fn record_write(&self, last_write: &mut Option<Duration>) {
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
}
