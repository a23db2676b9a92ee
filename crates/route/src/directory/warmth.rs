//! Which endpoints are cold, and what this host may send them.

use std::collections::HashMap;
use std::time::Duration;

use kernel::ServiceName;

use super::{Directory, Endpoint};
use crate::warm_up::{Peers, Share, WarmUp};

/// Until when an endpoint is cold, and what it gets from this host.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Warmth {
    /// Until when, by its entry.
    until: Duration,
    /// Until when, since its data centre was taken back.
    returned_until: Duration,
    share: Share,
    /// From when on this host may send it the next request.
    next: Duration,
}

impl Default for Warmth {
    fn default() -> Self {
        Self {
            until: Duration::ZERO,
            returned_until: Duration::ZERO,
            share: Share::Free,
            next: Duration::ZERO,
        }
    }
}

impl Warmth {
    pub(crate) fn is_cold(&self, now: Duration) -> bool {
        now < self.warm_from()
    }

    /// How long until this host may send it a request.
    pub(crate) fn wait(&self, now: Duration) -> Duration {
        let from = match self.share {
            Share::Free => Duration::ZERO,
            Share::Nothing => self.warm_from(),
            Share::Every(_) => self.next.min(self.warm_from()),
        };
        from.saturating_sub(now)
    }

    /// Takes that a request goes out to it.
    pub(crate) fn send(&mut self, now: Duration) {
        if let Share::Every(pause) = self.share {
            self.next = now + pause;
        }
    }

    fn warm_from(&self) -> Duration {
        self.until.max(self.returned_until)
    }
}

impl Directory {
    /// Takes what services' endpoints bear after a start.
    pub(crate) fn set_warm_ups(&mut self, warm_ups: HashMap<ServiceName, WarmUp>) {
        self.warm_ups = warm_ups;
        self.renew_shares();
    }

    /// Takes the hosts that share what cold endpoints take; none while this host may not
    /// know all of them.
    pub(crate) fn set_peers(&mut self, peers: Option<Peers>) {
        self.peers = peers;
        self.renew_shares();
    }

    /// Takes what the entries of a listing that was read then say.
    pub(super) fn renew_warmth(&mut self, at: Duration) {
        for it in self.endpoints.values_mut() {
            it.warmth.until = if it.entry.cold.is_zero() {
                Duration::ZERO
            } else {
                at.saturating_add(it.entry.cold)
            };
            if it.warmth.returned_until <= at {
                it.warmth.returned_until = Duration::ZERO;
            }
        }
        self.renew_shares();
    }

    /// Takes it that an endpoint's data centre is used again.
    ///
    /// Failure: its endpoints have started while nothing went there, and draw requests from
    /// all hosts at once before their entries say that they are cold, up to a heartbeat
    /// later. They count as cold for as long as a start takes.
    pub(super) fn return_to_use(
        now: Duration,
        warm_ups: &HashMap<ServiceName, WarmUp>,
        it: &mut Endpoint,
    ) {
        if let Some(warm_up) = warm_ups.get(&it.entry.service) {
            it.warmth.returned_until = now + warm_up.span;
        }
    }

    pub(super) fn renew_shares(&mut self) {
        for it in self.endpoints.values_mut() {
            if it.warmth.warm_from().is_zero() {
                continue;
            }
            let warm_up = self.warm_ups.get(&it.entry.service);
            it.warmth.share = match (warm_up, &self.peers) {
                (None, _) => Share::Free,
                (Some(_), None) => Share::Nothing,
                (Some(warm_up), Some(peers)) => peers.share(*warm_up, it.entry.process()),
            };
        }
    }
}
