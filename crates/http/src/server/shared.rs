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
    connections: Arc<AtomicUsize>,
    requests: Arc<Requests>,
}

#[derive(Default)]
struct Requests {
    count: AtomicUsize,
    waiter: AtomicWaker,
}

/// A connection's place among the allowed ones, until it is dropped.
pub(super) struct Connection {
    count: Arc<AtomicUsize>,
}

/// A request in flight, until it is dropped.
pub(super) struct InFlight {
    requests: Arc<Requests>,
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
        }
    }

    /// A place for a connection, if there is one.
    pub(super) fn connection(&self) -> Option<Connection> {
        let slot = Connection {
            count: Arc::clone(&self.connections),
        };
        let before = self.connections.fetch_add(1, Ordering::AcqRel);
        (before < self.limits.max_connections).then_some(slot)
    }

    pub(super) fn request(&self) -> InFlight {
        self.requests.count.fetch_add(1, Ordering::AcqRel);
        InFlight {
            requests: Arc::clone(&self.requests),
        }
    }

    pub(super) fn in_flight(&self) -> usize {
        self.requests.count.load(Ordering::Acquire)
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

    /// Completes when no request is in flight.
    pub(super) async fn idle(&self) {
        poll_fn(|cx| {
            self.requests.waiter.register(cx.waker());
            match self.in_flight() {
                0 => Poll::Ready(()),
                _ => Poll::Pending,
            }
        })
        .await;
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.count.fetch_sub(1, Ordering::AcqRel);
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        if self.requests.count.fetch_sub(1, Ordering::AcqRel) == 1 {
            self.requests.waiter.wake();
        }
    }
}
