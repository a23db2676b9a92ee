//! Status that endpoints report in their responses.

use std::time::Duration;

use kernel::EndpointId;

use super::{CROWDED_UTILIZATION, InFlight, Router};
use crate::endpoint::Load;
use crate::{RequestRate, rate_limit};

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

    /// Records the rate that an endpoint stated in a response, or that it stated none. Returns
    /// the change, if there is one.
    pub fn record_rate_limit(
        &mut self,
        now: Duration,
        in_flight: &InFlight,
        stated: Option<RequestRate>,
    ) -> Option<rate_limit::Change> {
        let (key, sent_at) = (in_flight.endpoint, in_flight.started);
        self.directory.record_rate_limit(now, sent_at, key, stated)
    }

    /// Returns whether a rate changed since the last call that other hosts must be told of.
    pub fn take_rate_limit_news(&mut self) -> bool {
        self.directory.take_rate_limit_news()
    }

    /// Returns the reports on stated rates to send in one update to the neighbours.
    pub fn rate_limit_reports(&mut self, now: Duration) -> Vec<rate_limit::Report> {
        self.directory.rate_limit_reports(now)
    }

    /// Returns the reports on all stated rates, for a host that starts.
    #[must_use]
    pub fn all_rate_limit_reports(&self, now: Duration) -> Vec<rate_limit::Report> {
        self.directory.all_rate_limit_reports(now)
    }

    /// Applies another host's reports on stated rates, and returns the endpoints whose rate
    /// changed. Those on endpoints that aren't listed yet apply once they are.
    pub fn apply_rate_limit_reports(
        &mut self,
        now: Duration,
        reports: &[rate_limit::Report],
    ) -> Vec<(EndpointId, rate_limit::Change)> {
        self.directory.apply_rate_limit_reports(now, reports)
    }

    /// Returns the rate that an attempt's endpoint states, as far as this host knows.
    #[must_use]
    pub fn rate_limit(&self, in_flight: &InFlight) -> Option<RequestRate> {
        self.directory.get(in_flight.endpoint)?.rate_limit.rate()
    }

    /// Records that an endpoint stated in a response that it exits if it refuses many requests.
    /// Returns whether it is new that its service is brittle.
    pub fn record_brittle(&mut self, now: Duration, in_flight: &InFlight) -> bool {
        self.directory.record_brittle(now, in_flight.endpoint)
    }

    /// Records that an endpoint asked in a response that this host send it nothing for `pause`.
    pub fn record_pause(&mut self, now: Duration, in_flight: &InFlight, pause: Duration) {
        self.directory
            .pause_endpoint(now, in_flight.endpoint, pause);
    }
}
