//! Restartable long polls of the store.

use std::cell::Cell;
use std::time::Duration;

use async_std::channel::{Receiver, Sender, bounded};
use futures::future::{Either, select};
use futures::pin_mut;

/// The long poll of the store for one kind of change.
///
/// A store that stops responding without closing its connections never answers the polls that
/// it got before or meanwhile. Without a restart, a change would be missed until they time out.
pub(crate) struct LongPoll {
    /// The time at which the open poll began; `None` while none is open.
    began: Cell<Option<Duration>>,
    restart: (Sender<()>, Receiver<()>),
}

impl LongPoll {
    /// Returns the result of a poll that begins now, or `None` if it has to be restarted.
    pub(crate) async fn run<T>(&self, now: Duration, call: impl Future<Output = T>) -> Option<T> {
        let restart = self.restart.1.recv();
        pin_mut!(call, restart);
        self.began.set(Some(now));
        let result = match select(call, restart).await {
            Either::Left((result, _)) => Some(result),
            Either::Right(_) => None,
        };
        self.began.set(None);
        // A restart that was requested just before the poll ended isn't for the next one.
        let _ = self.restart.1.try_recv();
        result
    }

    /// Restarts the open poll if it began before `before`. Returns when it began.
    pub(crate) fn restart(&self, before: Duration) -> Option<Duration> {
        let began = self.began.get().filter(|it| *it < before)?;
        // One pending restart is enough.
        let _ = self.restart.0.try_send(());
        Some(began)
    }
}

impl Default for LongPoll {
    fn default() -> Self {
        Self {
            began: Cell::new(None),
            restart: bounded(1),
        }
    }
}
