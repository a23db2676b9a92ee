//! Permission to send requests, depending on evacuated data centres, cold endpoints and stated
//! request rates.

use std::time::Duration;

use super::{InFlight, Router};
use crate::evacuation::{DataCentreAccess, Evacuation};
use crate::permit::Withheld;
use crate::{Peers, Permit, Revision};

impl Router {
    /// Applies an operator's evacuation, or its end, to a data centre. Returns whether this
    /// changes which data centres are in use.
    pub fn evacuate(&mut self, now: Duration, change: Evacuation) -> bool {
        self.directory.evacuate(now, change)
    }

    /// Applies the store's complete list of evacuated data centres at revision `at`. Returns
    /// whether this changes which data centres are in use.
    pub fn read_evacuations(
        &mut self,
        now: Duration,
        at: Revision,
        evacuated: Vec<Evacuation>,
    ) -> bool {
        self.directory.read_evacuations(now, at, evacuated)
    }

    /// Sets the hosts, including this one, that share the request rates of endpoints.
    /// `None` while this host may not know all of them.
    pub fn set_peers(&mut self, peers: Option<Peers>) {
        self.directory.set_peers(peers);
    }

    /// Permits sending an attempt's request now.
    ///
    /// # Errors
    /// Returns the reason if it may no longer be sent.
    pub fn permit(&mut self, now: Duration, in_flight: &InFlight) -> Result<Permit, Withheld> {
        let known = self.directory.get(in_flight.endpoint);
        let known = known.ok_or(Withheld::Leaving)?;
        if !self.directory.has_room_for(now, known, known.in_flight) {
            return Err(Withheld::Brittle);
        }
        let rollout = self.rollouts.get(&known.entry.service);
        if rollout.is_some_and(|it| it.is_out_of_use(&known.entry.release)) {
            return Err(Withheld::Withdrawn);
        }
        let it = self.directory.get_mut(in_flight.endpoint);
        let it = it.ok_or(Withheld::Leaving)?;
        if it.access == DataCentreAccess::Evacuated {
            return Err(Withheld::Evacuated);
        }
        if !it.takes_work() {
            return Err(Withheld::Leaving);
        }
        if !it.cold_start.wait(now).is_zero() {
            return Err(Withheld::Cold);
        }
        if !it.rate_limit.wait(now).is_zero() {
            return Err(Withheld::Limited);
        }
        it.cold_start.record_send(now);
        self.directory.record_limited_send(now, in_flight.endpoint);
        Ok(Permit(()))
    }
}
