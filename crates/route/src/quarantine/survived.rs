//! Requests after whose response a process recently kept running.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use crate::Fingerprint;

/// Time for which a request counts as safe after a process survived it. Longer than the time in
/// which many endpoints exit at once, and than that between two reads that many callers send alike.
const SURVIVED_TTL: Duration = Duration::from_secs(30);
/// Maximum number of requests remembered; the latest are kept.
const MAX_REQUESTS: usize = 4_096;

/// Requests that a process recently survived: after the complete response, the endpoint's process
/// was not seen to exit within `MAX_EXIT_DELAY`.
#[derive(Clone, Debug, Default)]
pub(super) struct SurvivedRequests {
    latest: HashMap<Fingerprint, Duration>,
    order: VecDeque<(Duration, Fingerprint)>,
}

impl SurvivedRequests {
    /// Records that a process survived a request.
    pub(super) fn record(&mut self, now: Duration, fingerprint: Fingerprint) {
        if self.order.len() == MAX_REQUESTS
            && let Some((at, oldest)) = self.order.pop_front()
            && self.latest.get(&oldest) == Some(&at)
        {
            self.latest.remove(&oldest);
        }
        self.latest.insert(fingerprint, now);
        self.order.push_back((now, fingerprint));
    }

    /// Returns the last time recorded for a request or part.
    pub(super) fn latest(&self, fingerprint: Fingerprint) -> Option<Duration> {
        self.latest.get(&fingerprint).copied()
    }

    /// Returns whether a process recently survived the request.
    pub(super) fn contains(&self, now: Duration, fingerprint: Fingerprint) -> bool {
        let at = self.latest.get(&fingerprint);
        at.is_some_and(|it| now.saturating_sub(*it) <= SURVIVED_TTL)
    }
}
