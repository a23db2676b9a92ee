//! The interface to time, so that decisions can run on a virtual clock.

use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Time from the origin of the operating system's clock to its start: the greatest age that can be
/// subtracted from any of its times. Hosts tell each other, and the store, how long ago something
/// happened, and much of that is older than the process that is told.
pub const MAX_AGE: Duration = Duration::from_hours(366 * 24);

/// A source of time.
///
/// Decisions only use [`Clock::now`]. Wall time is for output that people read, for times
/// that must remain valid after the process has ended, and for incarnations and random seeds.
pub trait Clock: Send + Sync + 'static {
    /// Returns the monotonic time since an arbitrary point, which must lie before everything of which
    /// the process is told the age. If it were the start of the process, whatever is older would be
    /// taken to be as old as the process.
    fn now(&self) -> Duration;

    /// Returns the wall time since the Unix epoch.
    fn wall(&self) -> Duration;
}

/// The clock of the operating system; its times begin at [`MAX_AGE`].
#[derive(Debug)]
pub struct SystemClock {
    start: Instant,
}

impl SystemClock {
    /// Creates a clock that starts now.
    #[must_use]
    pub fn new() -> Self {
        Self {
            start: Instant::now(),
        }
    }
}

impl Default for SystemClock {
    fn default() -> Self {
        Self::new()
    }
}

impl Clock for SystemClock {
    fn now(&self) -> Duration {
        MAX_AGE + self.start.elapsed()
    }

    fn wall(&self) -> Duration {
        SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default()
    }
}

/// A clock for tests that only advances when told to. It starts at zero: a test that tells ages
/// advances it first.
#[derive(Debug, Default)]
pub struct ManualClock {
    nanos: AtomicU64,
}

impl ManualClock {
    /// Advances the time.
    pub fn advance(&self, by: Duration) {
        let nanos = u64::try_from(by.as_nanos()).unwrap_or(u64::MAX);
        self.nanos.fetch_add(nanos, Ordering::SeqCst);
    }
}

impl Clock for ManualClock {
    fn now(&self) -> Duration {
        Duration::from_nanos(self.nanos.load(Ordering::SeqCst))
    }

    fn wall(&self) -> Duration {
        self.now()
    }
}
