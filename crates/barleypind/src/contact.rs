//! When this host last heard from the site around it.

use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

/// The last sign of the host list or of another host.
///
/// Failure: a switch cuts this host off from everything but its callers, and
/// a version is withdrawn on the other side. It shows as work for a withdrawn
/// version. A table that is out for everyone looks the same from here, but
/// then the host list and the other hosts still answer.
#[derive(Debug, Default)]
pub(crate) struct Contact {
    micros: AtomicU64,
}

impl Contact {
    /// Notes a sign that came at `now`.
    pub(crate) fn note(&self, now: Duration) {
        let micros = u64::try_from(now.as_micros()).unwrap_or(u64::MAX);
        self.micros.fetch_max(micros, Ordering::Relaxed);
    }

    /// The time since the last sign, or since the start of the process.
    pub(crate) fn age(&self, now: Duration) -> Duration {
        now.saturating_sub(Duration::from_micros(self.micros.load(Ordering::Relaxed)))
    }
}
