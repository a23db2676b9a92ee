//! Relays streams event by event, and resumes them after the last complete event.

use std::time::Duration;

use async_std::future::timeout;
use framing::{Decoder, Events, response};
use route::config::Answer as Shape;
use route::{Call, Ending};

use super::guard::Guard;
use super::{Attempt, Exchange, may_move};
use crate::answer::Answer;
use crate::lull::Lull;
use crate::upstream::Upstream;
use crate::{Dialect, Told};

/// The result of forwarding the buffered events.
#[derive(Clone, Copy, Debug, Default)]
struct Passed {
    count: u32,
    /// Whether the id of the next event shows that events are missing.
    has_gap: bool,
}

impl<D: Dialect> Attempt<'_, D> {
    /// Relays a stream until it ends or this endpoint can't continue it.
    pub(super) async fn stream(
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
            let is_sound = upstream.decode(&mut decoder, events.input()).is_ok();
            let Passed { count, has_gap } = self.pass_on(&mut events, head, call, answer);
            if let Some(flight) = &mut guard.flight {
                flight.events(node.now(), count);
            }
            if answer.has_pending() {
                self.note_pause(&mut passed);
            }
            let is_done = decoder.is_done() && !has_gap && !events.has_rest();
            // A resumed stream may have no further events: the caller has the last one.
            if is_done && (call.has_begun() || self.last_event.is_some()) {
                if !call.has_begun() {
                    call.begin();
                    answer.begin(&node.dialect, head);
                }
                self.keep(upstream, head, told);
                return match timeout(node.timing.write, answer.finish()).await {
                    Ok(Ok(())) => Exchange::Delivered,
                    _ => Exchange::CallerGone,
                };
            }
            match timeout(node.timing.write, answer.flush()).await {
                Ok(Ok(())) => {}
                _ => return Exchange::CallerGone,
            }
            if decoder.is_done() || has_gap || !is_sound {
                return Ending::Broken.into();
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

    /// Forwards the complete events in the buffer, each once and in order, and stops
    /// before a gap in the event ids.
    fn pass_on(
        &mut self,
        events: &mut Events,
        head: &response::Head,
        call: &mut Call,
        answer: &mut Answer,
    ) -> Passed {
        let mut passed = Passed::default();
        while let Some(event) = events.take() {
            if let (Some(id), Some(last)) = (event.id, *self.last_event) {
                if id <= last {
                    continue;
                }
                if id > last + 1 {
                    passed.has_gap = true;
                    return passed;
                }
            }
            if !call.has_begun() {
                call.begin();
                answer.begin(&self.node.dialect, head);
            }
            answer.event(event.bytes);
            let events = &self.progress.events;
            events.set(events.get() + 1);
            *self.last_event = event.id.or(*self.last_event);
            passed.count += 1;
        }
        passed
    }

    /// Records the time at which a part of the response is written.
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

    /// Returns how long to wait for the next event; see [`Self::first_wait`].
    fn pause(&self, call: &Call) -> Duration {
        let left = call.left(self.node.now());
        match call.route.answer {
            Shape::Stream { pause } if may_move(call) && !call.is_held() => {
                left.min(pause.mul_f64(self.node.timing.pause_part))
            }
            _ => left,
        }
    }
}
