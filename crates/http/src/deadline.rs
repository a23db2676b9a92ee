//! Deadlines for reading bodies.

use std::io;
use std::pin::Pin;
use std::task::{Context, Poll, ready};
use std::time::{Duration, Instant};

use async_std::task::sleep;

/// The deadline of reading a body.
pub(crate) struct Deadline {
    at: Instant,
    /// Created only when the reader has to wait, since most bodies are read without waiting.
    timer: Option<Pin<Box<dyn Future<Output = ()> + Send + Sync>>>,
}

impl Deadline {
    pub(crate) fn new(at: Instant) -> Self {
        Self { at, timer: None }
    }

    /// Fails if the deadline has passed. Readers call this also while bytes are available, since
    /// a peer that never stops sending would otherwise keep them busy forever.
    pub(crate) fn check(&self) -> io::Result<()> {
        if self.remaining().is_zero() {
            return Err(io::ErrorKind::TimedOut.into());
        }
        Ok(())
    }

    /// Registers the task to be woken at the deadline, and fails once that has passed.
    pub(crate) fn poll<T>(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<T>> {
        let remaining = self.remaining();
        let timer = self.timer.get_or_insert_with(|| Box::pin(sleep(remaining)));
        ready!(timer.as_mut().poll(cx));
        self.timer = None;
        Poll::Ready(Err(io::ErrorKind::TimedOut.into()))
    }

    fn remaining(&self) -> Duration {
        self.at.saturating_duration_since(Instant::now())
    }
}
