//! The time by which a body has to be there.

use std::io;
use std::pin::Pin;
use std::task::{Context, Poll, ready};
use std::time::{Duration, Instant};

use async_std::task::sleep;

/// A point in time that a reader can wait for beside its bytes.
pub(crate) struct Deadline {
    at: Instant,
    /// There is one only while the reader waits: most bodies never do.
    timer: Option<Pin<Box<dyn Future<Output = ()> + Send + Sync>>>,
}

impl Deadline {
    pub(crate) fn new(at: Instant) -> Self {
        Self { at, timer: None }
    }

    /// Fails once the time is over. Readers ask also while bytes come, since a
    /// peer that never ends would hold them for good.
    pub(crate) fn check(&self) -> io::Result<()> {
        if self.left().is_zero() {
            return Err(io::ErrorKind::TimedOut.into());
        }
        Ok(())
    }

    /// Wakes the task when the time is over, and then fails.
    pub(crate) fn poll<T>(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<T>> {
        let left = self.left();
        let timer = self.timer.get_or_insert_with(|| Box::pin(sleep(left)));
        ready!(timer.as_mut().poll(cx));
        self.timer = None;
        Poll::Ready(Err(io::ErrorKind::TimedOut.into()))
    }

    fn left(&self) -> Duration {
        self.at.saturating_duration_since(Instant::now())
    }
}
