//! Cold-start state of endpoints, and the request rate that this host may use there.

use std::collections::HashMap;
use std::time::Duration;

use kernel::ServiceName;

use super::{Directory, Endpoint};
use crate::Peers;
use crate::endpoint::Key;
use crate::warm_up::WarmUp;

/// The request rate that this host may use at a cold endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Share {
    /// The endpoint hasn't been cold, or its service has no warm-up limits.
    Unlimited,
    /// Zero: other hosts are selected, or this host doesn't know the others yet.
    Zero,
    /// One request per interval.
    OnePer(Duration),
}

/// Cold-start state of an endpoint.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ColdStart {
    /// Cold until this time, according to its entry in the listing.
    listed_until: Duration,
    /// Cold until this time because its data centre is back in use.
    returned_until: Duration,
    share: Share,
    /// Earliest time for this host's next request to it.
    next_request: Duration,
}

impl Default for ColdStart {
    fn default() -> Self {
        Self {
            listed_until: Duration::ZERO,
            returned_until: Duration::ZERO,
            share: Share::Unlimited,
            next_request: Duration::ZERO,
        }
    }
}

impl ColdStart {
    pub(crate) fn is_cold(&self, now: Duration) -> bool {
        now < self.cold_until()
    }

    /// Returns how long this host must wait before it sends a request.
    pub(crate) fn wait(&self, now: Duration) -> Duration {
        let from = match self.share {
            Share::Unlimited => Duration::ZERO,
            Share::Zero => self.cold_until(),
            Share::OnePer(_) => self.next_request.min(self.cold_until()),
        };
        from.saturating_sub(now)
    }

    /// Records that a request is sent.
    pub(crate) fn record_send(&mut self, now: Duration) {
        if let Share::OnePer(pause) = self.share {
            self.next_request = now + pause;
        }
    }

    fn cold_until(&self) -> Duration {
        self.listed_until.max(self.returned_until)
    }
}

impl Directory {
    /// Sets the warm-up limits of services.
    pub(crate) fn set_warm_ups(&mut self, warm_ups: HashMap<ServiceName, WarmUp>) {
        self.warm_ups = warm_ups;
        self.refresh_shares();
    }

    /// Sets the hosts that share request rates of endpoints; `None` while this host may not know
    /// all of them.
    pub(crate) fn set_peers(&mut self, peers: Option<Peers>) {
        self.peers = peers;
        self.refresh_shares();
        self.refresh_rate_limits();
    }

    /// Sets the cold-start time of an endpoint from its latest entry, relative to `at`, the time at
    /// which that entry was read.
    pub(super) fn refresh_cold_start(&mut self, at: Duration, key: Key) {
        let Some(it) = self.endpoints.get_mut(key) else {
            return;
        };
        it.cold_start.listed_until = if it.entry.cold.is_zero() {
            Duration::ZERO
        } else {
            at.saturating_add(it.entry.cold)
        };
        if it.cold_start.returned_until <= at {
            it.cold_start.returned_until = Duration::ZERO;
        }
        self.refresh_share(key);
    }

    /// Marks an endpoint as cold because its data centre is back in use.
    ///
    /// It may have restarted while it got no requests, and its entry shows that only after its next
    /// heartbeat. Until then all hosts would send it requests without a limit, so it counts as cold
    /// for a full warm-up.
    pub(super) fn mark_returned(
        now: Duration,
        warm_ups: &HashMap<ServiceName, WarmUp>,
        it: &mut Endpoint,
    ) {
        if let Some(warm_up) = warm_ups.get(&it.entry.service) {
            it.cold_start.returned_until = now + warm_up.span;
        }
    }

    pub(super) fn refresh_shares(&mut self) {
        for key in self.endpoints.keys().collect::<Vec<_>>() {
            self.refresh_share(key);
        }
    }

    fn refresh_share(&mut self, key: Key) {
        let Some(it) = self.endpoints.get_mut(key) else {
            return;
        };
        if it.cold_start.cold_until().is_zero() {
            return;
        }
        let warm_up = self.warm_ups.get(&it.entry.service);
        it.cold_start.share = match (warm_up, &self.peers) {
            (None, _) => Share::Unlimited,
            (Some(_), None) => Share::Zero,
            (Some(warm_up), Some(peers)) => {
                let division = peers.divide(warm_up.rate, it.entry.process());
                if division.group == 0 {
                    Share::OnePer(division.interval)
                } else {
                    Share::Zero
                }
            }
        };
    }
}
