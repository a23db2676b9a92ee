//! The time of the last contact with the host list or another host.

use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

/// The time at which the host list last responded or a frame of another host last arrived.
///
/// Distinguishes an isolated host from an outage of the table. A host that is cut off from
/// everything but its callers misses a withdrawal and would go on using the withdrawn version.
/// During an outage of the table alone, the host list and the other hosts are still heard from.
#[derive(Debug)]
pub(crate) struct LastContact {
    micros: AtomicU64,
}

impl LastContact {
    /// Creates the time of the last contact of a host that starts at `now`.
    pub(crate) fn new(now: Duration) -> Self {
        Self {
            micros: AtomicU64::new(micros(now)),
        }
    }

    /// Records a contact at `now`.
    pub(crate) fn record(&self, now: Duration) {
        self.micros.fetch_max(micros(now), Ordering::Relaxed);
    }

    /// Returns the time since the last contact, or since the host's start without one.
    pub(crate) fn age(&self, now: Duration) -> Duration {
        now.saturating_sub(Duration::from_micros(self.micros.load(Ordering::Relaxed)))
    }
}

fn micros(time: Duration) -> u64 {
    u64::try_from(time.as_micros()).unwrap_or(u64::MAX)
}
