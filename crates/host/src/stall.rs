//! Detects that this process stood still.

use std::rc::Rc;
use std::time::Duration;

use async_std::task::sleep;
use forward::Dialect;

use crate::Store;
use crate::host::Host;

/// Interval at which the process records that it runs.
const TICK_INTERVAL: Duration = Duration::from_millis(100);
/// Shortest pause between two of these records that counts as a stall.
const MIN_STALL: Duration = Duration::from_millis(500);
/// Time after a stall for which messages that arrived during it may still be waiting.
const BACKLOG_TIME: Duration = Duration::from_millis(300);

/// The last stall of this process.
///
/// What arrives while a process stands still is read when it runs again. Messages state ages, so
/// state that is seconds old would be taken for current, and an outage in the meantime be missed.
#[derive(Clone, Copy, Debug)]
pub struct Stall {
    last_tick: Duration,
    /// Beginning and end of the last stall.
    last: Option<(Duration, Duration)>,
}

impl Stall {
    /// Creates the state of a process that starts now.
    #[must_use]
    pub fn new(now: Duration) -> Self {
        Self {
            last_tick: now,
            last: None,
        }
    }

    /// Records that the process runs.
    pub fn tick(&mut self, now: Duration) {
        if now.saturating_sub(self.last_tick) >= MIN_STALL {
            self.last = Some((self.last_tick, now));
        }
        self.last_tick = now;
    }

    /// Returns for how long something that is read now may have been waiting because of a stall.
    #[must_use]
    pub fn possible_delay(&self, now: Duration) -> Duration {
        let since_tick = now.saturating_sub(self.last_tick);
        if since_tick >= MIN_STALL {
            return since_tick;
        }
        match self.last {
            Some((began, ended)) if now < ended + BACKLOG_TIME => now.saturating_sub(began),
            _ => Duration::ZERO,
        }
    }
}

/// Records at intervals that the process runs.
pub(crate) async fn watch<S: Store, D: Dialect>(host: Rc<Host<S, D>>) {
    loop {
        let mut stall = host.stall.get();
        stall.tick(host.node.now());
        host.stall.set(stall);
        sleep(TICK_INTERVAL).await;
    }
}
