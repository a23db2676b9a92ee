//! Forwarding of requests through other hosts, while this one reaches no endpoint.

use std::net::SocketAddr;
use std::time::Duration;

use rand::seq::IndexedRandom;

use super::Router;
use crate::call::{Call, Ending, Failure, Origin};
use crate::reach::State;
use crate::relay::{Relay, Relayed};

/// The maximum number of other hosts that are asked to serve one request.
const MAX_RELAYS: usize = 3;

impl Router {
    /// Sets the other hosts through which requests may be forwarded.
    pub fn set_relays(&mut self, relays: Vec<Relay>) {
        self.relays = relays;
    }

    /// Returns the host through which to forward a request, if this one is cut off from all
    /// endpoints and another one may be asked.
    ///
    /// A host of this data centre comes first, to save traffic. If it can't serve the request, the
    /// whole data centre may be cut off.
    pub fn next_relay(&mut self, call: &mut Call) -> Option<SocketAddr> {
        if !self.may_relay(call) {
            return None;
        }
        let untried = |it: &&Relay| !call.relays.contains(&it.address);
        let is_local = |it: &&Relay| it.data_centre == self.settings.data_centre;
        let prefers_local = call.relays.is_empty();
        let preferred = |it: &&Relay| is_local(it) == prefers_local;
        let all: Vec<_> = self.relays.iter().filter(untried).collect();
        let best: Vec<_> = all.iter().copied().filter(preferred).collect();
        let chosen = best.choose(&mut self.rng).or(all.choose(&mut self.rng))?;
        let address = chosen.address;
        call.relays.push(address);
        Some(address)
    }

    /// Returns whether the request may be forwarded through another host now.
    pub(super) fn may_relay(&self, call: &Call) -> bool {
        self.reach() == State::CutOff
            && call.origin == Origin::Caller
            && call.relays.len() < MAX_RELAYS.min(self.relays.len())
    }

    /// Returns the state of a request that is forwarded through another host.
    #[must_use]
    pub fn relayed(&self, call: &Call) -> Relayed {
        Relayed {
            version: self.version().unwrap_or_default(),
            attempts: call.attempts,
        }
    }

    /// Returns how a request fails that no other host has run. `retry_after` is the longest time
    /// after which one of them asked to retry.
    #[must_use]
    pub fn unrelayed_failure(&self, now: Duration, call: &Call, retry_after: Duration) -> Failure {
        match call.failure(now, Ending::NotSent) {
            Failure::NotRun { retry_after: own } => Failure::NotRun {
                retry_after: own.max(retry_after),
            },
            other => other,
        }
    }
}
