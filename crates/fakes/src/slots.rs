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
    capacity: usize,
    max_waiting: usize,
    running: usize,
    arrivals: u64,
    waiting: BTreeMap<(u8, u64), oneshot::Sender<()>>,
}

enum Admission {
    Run,
    Wait(oneshot::Receiver<()>),
}

impl Slots {
    pub(crate) fn new(capacity: usize, max_waiting: usize) -> Self {
        let inner = Inner {
            capacity,
            max_waiting,
            running: 0,
            arrivals: 0,
            waiting: BTreeMap::new(),
        };
        Self {
            inner: Arc::new(Mutex::new(inner)),
        }
    }

    /// Waits for a slot; returns `None` at once when the queue is full.
    pub(crate) async fn acquire(&self, priority: &str) -> Option<Slot> {
        let admission = self.lock().acquire(rank(priority))?;
        if let Admission::Wait(granted) = admission {
            granted.await.ok()?;
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
        self.slots.lock().release();
    }
}

impl Inner {
    fn acquire(&mut self, rank: u8) -> Option<Admission> {
        if self.running < self.capacity {
            self.running += 1;
            return Some(Admission::Run);
        }
        if self.waiting.len() >= self.max_waiting {
            return None;
        }
        let (sender, granted) = oneshot::channel();
        self.arrivals += 1;
        self.waiting.insert((rank, self.arrivals), sender);
        Some(Admission::Wait(granted))
    }

    /// Passes the slot to the first request in the queue that still waits for it, or frees it.
    fn release(&mut self) {
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
