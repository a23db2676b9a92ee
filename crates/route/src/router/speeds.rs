//! What the router learns of the speed of endpoints, and tells of it.

use std::time::Duration;

use kernel::ServiceName;

use super::{InFlight, Router};
use crate::call::Call;
use crate::directory::Stream;
use crate::{LoadPolicy, Slowness};

impl Router {
    /// Records the speed of an attempt's stream at its endpoint.
    pub(super) fn record_stream(&mut self, now: Duration, call: &Call, in_flight: &InFlight) {
        if self.load_policy(&call.service) != LoadPolicy::Contended {
            return;
        }
        let started = in_flight.response_started.and(in_flight.intervals());
        let Some((intervals, last_event)) = started else {
            return;
        };
        let key = in_flight.endpoint;
        if let (Some(model), Some(it)) = (call.model(), self.directory.get(key)) {
            let seconds = it.pace_clock.seconds(last_event) - in_flight.pace_seconds;
            let stream = Stream { intervals, seconds };
            self.directory.record_stream(now, key, model, stream);
        }
    }

    /// Returns how many times longer work takes at an attempt's endpoint than at a usual one, if
    /// something is known about it and the service's endpoints are told apart by it.
    #[must_use]
    pub fn slowness(&self, now: Duration, in_flight: &InFlight) -> Option<f64> {
        let it = self.directory.get(in_flight.endpoint)?;
        let is_contended = self.load_policy(&it.entry.service) == LoadPolicy::Contended;
        it.known_slowness(now).filter(|_| is_contended)
    }

    /// Returns the slowness of the endpoints that take requests, by service. Services about whose
    /// endpoints nothing is known are left out.
    #[must_use]
    pub fn slowness_by_service(&self, now: Duration) -> Vec<(ServiceName, Slowness)> {
        let services = self.config.iter().flat_map(|it| it.services());
        let contended = services
            .map(|it| &it.name)
            .filter(|it| self.load_policy(it) == LoadPolicy::Contended);
        let slowness = |service: &ServiceName| {
            let endpoints = self.directory.endpoints_of(service);
            let values = endpoints
                .filter(|(_, it)| it.takes_work())
                .filter_map(|(_, it)| it.known_slowness(now));
            Some((service.clone(), Slowness::of(values.collect())?))
        };
        contended.filter_map(slowness).collect()
    }
}
