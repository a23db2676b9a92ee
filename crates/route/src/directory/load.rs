//! The load of endpoints, as they report it and as this host estimates it.

use std::time::Duration;

use kernel::ServiceName;

use super::{Directory, Endpoint};
use crate::endpoint::{Key, Load};

impl Directory {
    /// Returns the mean estimated utilization of the service's endpoints that take requests; 1 if
    /// there are none.
    #[must_use]
    pub fn utilization(&self, now: Duration, service: &ServiceName) -> f64 {
        let (mut used, mut count) = (0.0, 0.0);
        for (_, it) in self.endpoints_of(service).filter(|(_, it)| it.takes_work()) {
            used += self.endpoint_utilization(now, it);
            count += 1.0;
        }
        if count > 0.0 { used / count } else { 1.0 }
    }

    /// Returns the estimated utilization of an endpoint.
    ///
    /// An endpoint without a recent load report is assumed to be as busy as the service's average.
    /// If it were assumed idle, it would be preferred to those that report, and in a large fleet
    /// hardly any endpoint has reported to this host recently.
    #[must_use]
    pub fn endpoint_utilization(&self, now: Duration, it: &Endpoint) -> f64 {
        let typical_utilization = self.typical_utilization.get(&it.entry.service).copied();
        it.utilization(now, typical_utilization.unwrap_or_default())
    }

    /// Returns whether an endpoint of the service has reported the pace of its machine. The
    /// endpoints of such a service share their machines with other programs.
    #[must_use]
    pub fn is_uneven(&self, service: &ServiceName) -> bool {
        self.uneven.contains(service)
    }

    /// Records an endpoint's load report.
    pub(crate) fn record_load(&mut self, now: Duration, key: Key, load: Load) {
        /// Weight of a new report in the moving average.
        const WEIGHT: f64 = 0.05;
        if let Some(it) = self.endpoints.get_mut(key) {
            it.load = Some((now, load));
            it.sent_since_load = 0;
            it.pace_clock.record(now, load.pace);
            if load.pace.is_some() && !self.uneven.contains(&it.entry.service) {
                self.uneven.insert(it.entry.service.clone());
            }
            let typical_utilization = self
                .typical_utilization
                .entry(it.entry.service.clone())
                .or_default();
            *typical_utilization += WEIGHT * (load.utilization() - *typical_utilization);
        }
    }
}
