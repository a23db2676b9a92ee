//! What operators say of data centres, and what may still go out.

use super::{Flight, Router};
use crate::directory::Endpoint;
use crate::evacuation::{Access, Evacuation};
use crate::permit::Withheld;
use crate::{Permit, Revision};

impl Router {
    /// Takes what operators said of a data centre, and says whether it changes what is
    /// used.
    pub fn evacuate(&mut self, said: Evacuation) -> bool {
        self.directory.evacuate(said)
    }

    /// Takes all that the store has of emptied data centres at a moment, and says whether
    /// it changes what is used.
    pub fn read_evacuations(&mut self, at: Revision, emptied: Vec<Evacuation>) -> bool {
        self.directory.read_evacuations(at, emptied)
    }

    /// Lets an attempt's request go out now.
    ///
    /// # Errors
    /// Why it may not any more.
    pub fn permit(&self, flight: &Flight) -> Result<Permit, Withheld> {
        match self.directory.get(flight.endpoint) {
            Some(it) if it.takes_work() => Ok(Permit(())),
            Some(Endpoint {
                access: Access::Emptied,
                ..
            }) => Err(Withheld::Emptied),
            _ => Err(Withheld::Leaving),
        }
    }
}
