//! A modelled endpoint: some slots, and a queue that is ordered by priority.

use std::time::Duration;

use route::endpoint::Load;

use super::site::SLOTS;

/// An endpoint. Requests are known by their number.
#[derive(Debug, Default)]
pub(crate) struct Engine {
    running: Vec<usize>,
    /// Priority, order of arrival, number and deadline of the waiting requests.
    waiting: Vec<(u8, usize, usize, Duration)>,
    pub(crate) received: usize,
}

impl Engine {
    pub(crate) fn receive(&mut self, request: usize, priority: u8, deadline: Duration) {
        self.received += 1;
        self.waiting
            .push((priority, self.received, request, deadline));
        self.waiting.sort_unstable();
    }

    /// Starts the next request, if there is one and a slot is free.
    pub(crate) fn start(&mut self, now: Duration) -> Option<usize> {
        self.waiting.retain(|it| now < it.3);
        if self.running.len() >= SLOTS as usize || self.waiting.is_empty() {
            return None;
        }
        let (_, _, request, _) = self.waiting.remove(0);
        self.running.push(request);
        Some(request)
    }

    /// Ends a running request, and returns whether it was running.
    pub(crate) fn finish(&mut self, request: usize) -> bool {
        let before = self.running.len();
        self.running.retain(|it| *it != request);
        self.running.len() < before
    }

    pub(crate) fn load(&self) -> Load {
        Load {
            running: u32::try_from(self.running.len()).unwrap(),
            waiting: u32::try_from(self.waiting.len()).unwrap(),
            slots: SLOTS,
            pace: None,
        }
    }
}
