//! What endpoints say of themselves in their answers.

use std::time::Duration;

use super::{CROWDED, Flight, Router};
use crate::endpoint::Load;

impl Router {
    /// Takes an endpoint's word on its load, which comes with an attempt's answer.
    pub fn load(&mut self, now: Duration, flight: &mut Flight, load: Load) {
        // What other hosts send there is known only by this.
        flight.is_crowded |= load.used() >= CROWDED;
        self.directory.load(now, flight.endpoint, load);
    }

    /// Takes an endpoint's word that it leaves, which comes with an attempt's answer, and
    /// says whether it took work until now.
    pub fn leave(&mut self, flight: &Flight) -> bool {
        self.directory.leave(flight.endpoint)
    }

    /// Takes an endpoint's word, which comes with its refusal of an attempt, that it wants
    /// nothing of this host for so long.
    pub fn refuse(&mut self, now: Duration, flight: &Flight, pause: Duration) {
        self.directory.refuse(now, flight.endpoint, pause);
    }
}
