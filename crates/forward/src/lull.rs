//! A time-out that is moved forward often and passes rarely.

use std::pin::Pin;
use std::time::Duration;

use async_std::task::sleep;
use futures::future::{Either, select};
use futures::pin_mut;
use kernel::Clock;

/// A time-out that is moved forward often and passes rarely.
///
/// A stream has dozens of events, each within its own time. Arming a timer for
/// each wakes the reactor with a system call and lets it run once more; here
/// the timer of an earlier event runs on and is armed anew when it rings.
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

    /// What `work` gives, or nothing if it takes longer than `limit`.
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

    /// A timer that rings at `ends` or before.
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
