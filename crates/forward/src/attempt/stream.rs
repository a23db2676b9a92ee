//! Streams: passed on event by event, and resumed at the last whole one.

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

impl<D: Dialect> Attempt<'_, D> {
    /// Passes on a stream until it ends or can't go on at this endpoint.
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
            let events = &self.progress.events;
            events.set(events.get() + 1);
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
}
