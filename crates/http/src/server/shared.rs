//! What the connections of a server share.

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

/// How many there are of something, and who waits until there are none.
#[derive(Default)]
struct Count {
    now: AtomicUsize,
    waiter: AtomicWaker,
}

/// One of those counted, until it is dropped.
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

    /// A place for a connection, if there is one.
    pub(super) fn connection(&self) -> Option<Counted> {
        let slot = Counted::new(&self.connections);
        (self.connections.get() <= self.limits.max_connections).then_some(slot)
    }

    pub(super) fn request(&self) -> Counted {
        Counted::new(&self.requests)
    }

    /// A task that may hold a caller's request, or the answer to one.
    pub(super) fn task(&self) -> Counted {
        Counted::new(&self.tasks)
    }

    pub(super) fn in_flight(&self) -> usize {
        self.requests.get()
    }

    /// Has callers asked to close their connections.
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

    /// Completes when the server takes no more requests.
    pub(super) async fn stopped(&self) {
        // Nothing is ever sent: receiving fails once the channel is closed.
        let _ = self.stopped.recv().await;
    }

    /// Completes when no task is left that serves a caller.
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
