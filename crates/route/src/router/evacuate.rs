//! What may go out to endpoints: data centres that are emptied, endpoints that are cold.

use std::time::Duration;

use super::{Flight, Router};
use crate::evacuation::{Access, Evacuation};
use crate::permit::Withheld;
use crate::{Peers, Permit, Revision};

impl Router {
    /// Takes what operators said of a data centre, and says whether it changes what is
    /// used.
    pub fn evacuate(&mut self, now: Duration, said: Evacuation) -> bool {
        self.directory.evacuate(now, said)
    }

    /// Takes all that the store has of emptied data centres at a moment, and says whether
    /// it changes what is used.
    pub fn read_evacuations(
        &mut self,
        now: Duration,
        at: Revision,
        emptied: Vec<Evacuation>,
    ) -> bool {
        self.directory.read_evacuations(now, at, emptied)
    }

    /// Takes the hosts that share what cold endpoints take, this one among them; none while
    /// it may not know all of them.
    pub fn set_peers(&mut self, peers: Option<Peers>) {
        self.directory.set_peers(peers);
    }

    /// Lets an attempt's request go out now.
    ///
    /// # Errors
    /// Why it may not any more.
    pub fn permit(&mut self, now: Duration, flight: &Flight) -> Result<Permit, Withheld> {
        let it = self.directory.get_mut(flight.endpoint);
        let it = it.ok_or(Withheld::Leaving)?;
        if it.access == Access::Emptied {
            return Err(Withheld::Emptied);
        }
        if !it.takes_work() {
            return Err(Withheld::Leaving);
        }
        if !it.warmth.wait(now).is_zero() {
            return Err(Withheld::Cold);
        }
        it.warmth.send(now);
        Ok(Permit(()))
    }
}
