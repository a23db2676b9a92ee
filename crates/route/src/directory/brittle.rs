//! The room at endpoints that exit when they refuse many requests.

use std::time::Duration;

use super::{Directory, Endpoint};
use crate::Peers;
use crate::endpoint::Key;

impl Directory {
    /// Records that an endpoint exits if it refuses many requests. Returns whether it is new that
    /// its service is brittle.
    pub(crate) fn record_brittle(&mut self, now: Duration, key: Key) -> bool {
        let service = self.endpoints.get(key).map(|it| &it.entry.service);
        service.is_some_and(|it| self.brittle.record(now, it))
    }

    /// Returns whether this host may have this many requests in flight at an endpoint. Only the
    /// slots of brittle endpoints are divided among hosts. Until the others are known, one request
    /// may be in flight there.
    pub(crate) fn has_room_for(&self, now: Duration, it: &Endpoint, requests: u32) -> bool {
        if !self.brittle.contains(now, &it.entry.service) {
            return true;
        }
        let share = |peers: &Peers| peers.slot_share(it.entry.slots, it.entry.process());
        requests <= self.peers.as_ref().map_or(1, share)
    }

    /// Returns whether this host may send an endpoint one more request.
    pub(crate) fn has_room(&self, now: Duration, it: &Endpoint) -> bool {
        self.has_room_for(now, it, it.in_flight + 1)
    }
}
