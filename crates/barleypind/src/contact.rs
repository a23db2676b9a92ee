//! The time of the last sign of life from the systems around this host.

use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

/// The time of the last response of the host list or frame of another host.
///
/// Distinguishes an isolated host from an outage of the table. A host that is cut off from
/// everything but its callers misses a withdrawal and would go on using the withdrawn version.
/// During an outage of the table alone, the host list and the other hosts are still heard from.
#[derive(Debug, Default)]
pub(crate) struct LastContact {
    micros: AtomicU64,
}

impl LastContact {
    /// Records a sign of life received at `now`.
    pub(crate) fn record(&self, now: Duration) {
        let micros = u64::try_from(now.as_micros()).unwrap_or(u64::MAX);
        self.micros.fetch_max(micros, Ordering::Relaxed);
    }

    /// Returns the time since the last sign of life, or since the start of the clock without one.
    pub(crate) fn age(&self, now: Duration) -> Duration {
        now.saturating_sub(Duration::from_micros(self.micros.load(Ordering::Relaxed)))
    }
}
