//! Concurrency slots of an endpoint, with a priority queue.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use futures::channel::oneshot;

/// The slots of an endpoint.
#[derive(Clone, Debug)]
pub(crate) struct Slots {
    inner: Arc<Mutex<Inner>>,
}

/// An acquired slot, which is released on drop.
#[derive(Debug)]
pub(crate) struct Slot {
    slots: Slots,
}

#[derive(Debug)]
struct Inner {
    total: usize,
    queue: usize,
    running: usize,
    arrivals: u64,
    waiting: BTreeMap<(u8, u64), oneshot::Sender<()>>,
}

enum Entry {
    Run,
    Wait(oneshot::Receiver<()>),
}

impl Slots {
    pub(crate) fn new(total: usize, queue: usize) -> Self {
        let inner = Inner {
            total,
            queue,
            running: 0,
            arrivals: 0,
            waiting: BTreeMap::new(),
        };
        Self {
            inner: Arc::new(Mutex::new(inner)),
        }
    }

    /// Waits for a slot; returns `None` at once when the queue is full.
    pub(crate) async fn enter(&self, priority: &str) -> Option<Slot> {
        let entry = self.lock().enter(rank(priority))?;
        if let Entry::Wait(turn) = entry {
            turn.await.ok()?;
        }
        Some(Slot {
            slots: self.clone(),
        })
    }

    pub(crate) fn running(&self) -> usize {
        self.lock().running
    }

    pub(crate) fn waiting(&self) -> usize {
        self.lock().waiting.len()
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        self.slots.lock().leave();
    }
}

impl Inner {
    fn enter(&mut self, rank: u8) -> Option<Entry> {
        if self.running < self.total {
            self.running += 1;
            return Some(Entry::Run);
        }
        if self.waiting.len() >= self.queue {
            return None;
        }
        let (sender, turn) = oneshot::channel();
        self.arrivals += 1;
        self.waiting.insert((rank, self.arrivals), sender);
        Some(Entry::Wait(turn))
    }

    /// Passes the slot to the first request in the queue that still waits for it, or frees it.
    fn leave(&mut self) {
        while let Some((_, next)) = self.waiting.pop_first() {
            if next.send(()).is_ok() {
                return;
            }
        }
        self.running -= 1;
    }
}

fn rank(priority: &str) -> u8 {
    match priority {
        "urgent" => 0,
        "batch" => 2,
        _ => 1,
    }
}
