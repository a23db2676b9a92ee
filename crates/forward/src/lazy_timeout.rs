//! A timeout whose deadline is often extended and rarely reached.

use std::pin::Pin;
use std::time::Duration;

use async_std::task::sleep;
use futures::future::{Either, select};
use futures::pin_mut;
use kernel::Clock;

/// A timeout whose deadline is often extended and rarely reached.
///
/// Each event of a stream has its own timeout. Arming a timer for each one wakes the
/// reactor with a system call; instead, the timer of an earlier event keeps running.
/// A new timer is armed only if the old one has fired before the deadline, or would fire
/// after it.
pub(crate) struct LazyTimeout<'a> {
    clock: &'a dyn Clock,
    timer: Option<Timer>,
}

struct Timer {
    sleep: Pin<Box<dyn Future<Output = ()>>>,
    fires_at: Duration,
}

impl<'a> LazyTimeout<'a> {
    pub(crate) fn new(clock: &'a dyn Clock) -> Self {
        Self { clock, timer: None }
    }

    /// Returns the output of `work`, or `None` if it takes longer than `limit`.
    pub(crate) async fn within<T>(
        &mut self,
        limit: Duration,
        work: impl Future<Output = T>,
    ) -> Option<T> {
        let deadline = self.clock.now() + limit;
        pin_mut!(work);
        loop {
            let timer = self.timer_before(deadline);
            match select(&mut work, &mut timer.sleep).await {
                Either::Left((done, _)) => return Some(done),
                Either::Right(_) => self.timer = None,
            }
            if self.clock.now() >= deadline {
                return None;
            }
        }
    }

    /// Returns a timer that fires at `deadline` or earlier.
    fn timer_before(&mut self, deadline: Duration) -> &mut Timer {
        if self.timer.as_ref().is_some_and(|it| it.fires_at > deadline) {
            self.timer = None;
        }
        let now = self.clock.now();
        self.timer.get_or_insert_with(|| Timer {
            sleep: Box::pin(sleep(deadline.saturating_sub(now))),
            fires_at: deadline,
        })
    }
}
