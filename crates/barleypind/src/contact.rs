//! The time of the last contact with the host list or another host.

use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

/// The time at which the host list last responded or a frame of another host last arrived.
///
/// Distinguishes an isolated host from an outage of the table. A host that is cut off from
/// everything but its callers misses a withdrawal and would go on using the withdrawn version.
/// During an outage of the table alone, the host list and the other hosts are still heard from.
#[derive(Debug, Default)]
pub(crate) struct LastContact {
    micros: AtomicU64,
}

impl LastContact {
    /// Records a contact at `now`.
    pub(crate) fn record(&self, now: Duration) {
        let micros = u64::try_from(now.as_micros()).unwrap_or(u64::MAX);
        self.micros.fetch_max(micros, Ordering::Relaxed);
    }

    /// Returns the time since the last contact, or since the start of the clock without one.
    pub(crate) fn age(&self, now: Duration) -> Duration {
        now.saturating_sub(Duration::from_micros(self.micros.load(Ordering::Relaxed)))
    }
}
