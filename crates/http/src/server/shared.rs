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
    draining: AtomicBool,
    stop_sender: Sender<()>,
    stop_receiver: Receiver<()>,
    connections: Arc<Counter>,
    requests: Arc<Counter>,
    tasks: Arc<Counter>,
}

/// A counter, and the task that waits until it is zero.
#[derive(Default)]
struct Counter {
    value: AtomicUsize,
    waiter: AtomicWaker,
}

/// Guard that increments a counter and decrements it on drop.
pub(super) struct CounterGuard {
    counter: Arc<Counter>,
}

impl Shared {
    pub(super) fn new(limits: Limits) -> Self {
        let (stop_sender, stop_receiver) = bounded(1);
        Self {
            limits,
            draining: AtomicBool::new(false),
            stop_sender,
            stop_receiver,
            connections: Arc::default(),
            requests: Arc::default(),
            tasks: Arc::default(),
        }
    }

    /// Counts a connection. Returns `None` if there are too many.
    pub(super) fn count_connection(&self) -> Option<CounterGuard> {
        let slot = CounterGuard::new(&self.connections);
        (self.connections.get() <= self.limits.max_connections).then_some(slot)
    }

    pub(super) fn count_request(&self) -> CounterGuard {
        CounterGuard::new(&self.requests)
    }

    /// Counts a task that may accept connections or hold requests.
    pub(super) fn count_task(&self) -> CounterGuard {
        CounterGuard::new(&self.tasks)
    }

    pub(super) fn in_flight(&self) -> usize {
        self.requests.get()
    }

    /// Makes responses ask callers to close their connections.
    pub(super) fn begin_drain(&self) {
        self.draining.store(true, Ordering::Release);
    }

    pub(super) fn is_draining(&self) -> bool {
        self.draining.load(Ordering::Acquire)
    }

    pub(super) fn stop(&self) {
        self.begin_drain();
        self.stop_sender.close();
    }

    /// Waits until [`Self::stop`] is called.
    pub(super) async fn wait_stopped(&self) {
        // Nothing is sent on this channel; `recv` returns an error once it is closed.
        let _ = self.stop_receiver.recv().await;
    }

    /// Waits until all counted tasks have ended.
    pub(super) async fn wait_finished(&self) {
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

impl Counter {
    fn get(&self) -> usize {
        self.value.load(Ordering::Acquire)
    }
}

impl CounterGuard {
    fn new(counter: &Arc<Counter>) -> Self {
        counter.value.fetch_add(1, Ordering::AcqRel);
        Self {
            counter: Arc::clone(counter),
        }
    }
}

impl Drop for CounterGuard {
    fn drop(&mut self) {
        if self.counter.value.fetch_sub(1, Ordering::AcqRel) == 1 {
            self.counter.waiter.wake();
        }
    }
}
