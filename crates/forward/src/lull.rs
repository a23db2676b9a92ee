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
/// reactor with a system call; instead, the timer of an earlier event keeps running
/// and is armed again only when it fires.
pub(crate) struct Lull<'a> {
    clock: &'a dyn Clock,
    timer: Option<Timer>,
}

struct Timer {
    sleep: Pin<Box<dyn Future<Output = ()>>>,
    rings: Duration,
}

impl<'a> Lull<'a> {
    pub(crate) fn new(clock: &'a dyn Clock) -> Self {
        Self { clock, timer: None }
    }

    /// Returns the output of `work`, or `None` if it takes longer than `limit`.
    pub(crate) async fn within<T>(
        &mut self,
        limit: Duration,
        work: impl Future<Output = T>,
    ) -> Option<T> {
        let ends = self.clock.now() + limit;
        pin_mut!(work);
        loop {
            let timer = self.timer_before(ends);
            match select(&mut work, &mut timer.sleep).await {
                Either::Left((done, _)) => return Some(done),
                Either::Right(_) => self.timer = None,
            }
            if self.clock.now() >= ends {
                return None;
            }
        }
    }

    /// Returns a timer that fires at `ends` or earlier.
    fn timer_before(&mut self, ends: Duration) -> &mut Timer {
        if self.timer.as_ref().is_some_and(|it| it.rings > ends) {
            self.timer = None;
        }
        let now = self.clock.now();
        self.timer.get_or_insert_with(|| Timer {
            sleep: Box::pin(sleep(ends.saturating_sub(now))),
            rings: ends,
        })
    }
}
