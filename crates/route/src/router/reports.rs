//! Status that endpoints report in their responses.

use std::time::Duration;

use super::{CROWDED_UTILIZATION, Flight, Router};
use crate::endpoint::Load;

impl Router {
    /// Records the load that an endpoint reported in a response.
    pub fn load(&mut self, now: Duration, flight: &mut Flight, load: Load) {
        // Only the report includes the requests of other hosts.
        flight.is_crowded |= load.used() >= CROWDED_UTILIZATION;
        self.directory.record_load(now, flight.endpoint, load);
    }

    /// Records that an endpoint reported in a response that it is shutting down. Returns
    /// whether it accepted requests until now.
    pub fn leave(&mut self, flight: &Flight) -> bool {
        self.directory.mark_leaving(flight.endpoint)
    }

    /// Records that an endpoint refused an attempt and asked this host to send it nothing for
    /// `pause`.
    pub fn refuse(&mut self, now: Duration, flight: &Flight, pause: Duration) {
        self.directory.pause_endpoint(now, flight.endpoint, pause);
    }
}
