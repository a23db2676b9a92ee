//! Status that endpoints report in their responses.

use std::time::Duration;

use super::{CROWDED_UTILIZATION, InFlight, Router};
use crate::endpoint::Load;

impl Router {
    /// Records the load that an endpoint reported in a response.
    pub fn record_load(&mut self, now: Duration, in_flight: &mut InFlight, load: Load) {
        // The estimate when the request was sent may miss requests of other hosts; the report
        // includes them.
        in_flight.is_crowded |= load.utilization() >= CROWDED_UTILIZATION;
        self.directory.record_load(now, in_flight.endpoint, load);
    }

    /// Records that an endpoint reported in a response that it is shutting down. Returns
    /// whether it accepted requests until now.
    pub fn record_leaving(&mut self, in_flight: &InFlight) -> bool {
        self.directory.mark_leaving(in_flight.endpoint)
    }

    /// Records that an endpoint asked in a response that this host send it nothing for `pause`.
    pub fn record_pause(&mut self, now: Duration, in_flight: &InFlight, pause: Duration) {
        self.directory
            .pause_endpoint(now, in_flight.endpoint, pause);
    }
}
