//! State shared by the connections of a server.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::task::Poll;

use async_std::channel::{Receiver, Sender, bounded};
use futures::future::poll_fn;
use futures::task::AtomicWaker;

use super::Limits;

pub(super) struct Shared {
    pub(super) limits: Limits,
    retiring: AtomicBool,
    stop: Sender<()>,
    stopped: Receiver<()>,
    connections: Arc<Count>,
    requests: Arc<Count>,
    tasks: Arc<Count>,
}

/// A counter, and the task that waits until it is zero.
#[derive(Default)]
struct Count {
    now: AtomicUsize,
    waiter: AtomicWaker,
}

/// Guard that increments a counter and decrements it on drop.
pub(super) struct Counted {
    count: Arc<Count>,
}

impl Shared {
    pub(super) fn new(limits: Limits) -> Self {
        let (stop, stopped) = bounded(1);
        Self {
            limits,
            retiring: AtomicBool::new(false),
            stop,
            stopped,
            connections: Arc::default(),
            requests: Arc::default(),
            tasks: Arc::default(),
        }
    }

    /// Counts a connection. Returns `None` if there are too many.
    pub(super) fn connection(&self) -> Option<Counted> {
        let slot = Counted::new(&self.connections);
        (self.connections.get() <= self.limits.max_connections).then_some(slot)
    }

    pub(super) fn request(&self) -> Counted {
        Counted::new(&self.requests)
    }

    /// Counts a task that may accept connections or hold requests.
    pub(super) fn task(&self) -> Counted {
        Counted::new(&self.tasks)
    }

    pub(super) fn in_flight(&self) -> usize {
        self.requests.get()
    }

    /// Makes responses ask callers to close their connections.
    pub(super) fn retire(&self) {
        self.retiring.store(true, Ordering::Release);
    }

    pub(super) fn is_retiring(&self) -> bool {
        self.retiring.load(Ordering::Acquire)
    }

    pub(super) fn stop(&self) {
        self.retire();
        self.stop.close();
    }

    /// Waits until the server stops accepting connections.
    pub(super) async fn stopped(&self) {
        // Nothing is sent on this channel; `recv` returns an error once it is closed.
        let _ = self.stopped.recv().await;
    }

    /// Waits until all counted tasks have ended.
    pub(super) async fn finished(&self) {
        poll_fn(|cx| {
            self.tasks.waiter.register(cx.waker());
            match self.tasks.get() {
                0 => Poll::Ready(()),
                _ => Poll::Pending,
            }
        })
        .await;
    }
}

impl Count {
    fn get(&self) -> usize {
        self.now.load(Ordering::Acquire)
    }
}

impl Counted {
    fn new(count: &Arc<Count>) -> Self {
        count.now.fetch_add(1, Ordering::AcqRel);
        Self {
            count: Arc::clone(count),
        }
    }
}

impl Drop for Counted {
    fn drop(&mut self) {
        if self.count.now.fetch_sub(1, Ordering::AcqRel) == 1 {
            self.count.waiter.wake();
        }
    }
}
