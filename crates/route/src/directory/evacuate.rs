//! Effect of evacuated data centres on the directory.

use std::time::Duration;

use kernel::{DataCentre, ServiceName};

use super::{Directory, Endpoint};
use crate::Revision;
use crate::evacuation::{DataCentreAccess, Evacuation, Evacuations};

impl Directory {
    /// Returns the state of the data centres.
    #[must_use]
    pub fn evacuations(&self) -> &Evacuations {
        &self.evacuations
    }

    /// Applies an operator's change to a data centre. Returns whether it changes which endpoints
    /// are used.
    pub(crate) fn evacuate(&mut self, now: Duration, change: Evacuation) -> bool {
        let is_change = self.evacuations.apply(change);
        self.refresh_access(now);
        is_change
    }

    /// Applies the store's complete list of evacuated data centres. Returns whether it changes
    /// which endpoints are used.
    pub(crate) fn read_evacuations(
        &mut self,
        now: Duration,
        at: Revision,
        evacuated: Vec<Evacuation>,
    ) -> bool {
        let is_change = self.evacuations.apply_snapshot(at, evacuated);
        self.refresh_access(now);
        is_change
    }

    fn refresh_access(&mut self, now: Duration) {
        for it in self.endpoints.values_mut() {
            let access = access(&self.evacuations, &it.entry.data_centre);
            let before = std::mem::replace(&mut it.access, access);
            if (before, access) == (DataCentreAccess::Evacuated, DataCentreAccess::Open) {
                Self::mark_returned(now, &self.warm_ups, it);
            }
        }
        self.refresh_shares();
    }

    pub(super) fn access(&self, data_centre: &DataCentre) -> DataCentreAccess {
        access(&self.evacuations, data_centre)
    }

    /// Returns how long until a ready endpoint of the service may be sent requests, without regard
    /// to ejections. Zero if one already may, or if none is ready.
    pub(crate) fn min_retry_after(&self, now: Duration, service: &ServiceName) -> Duration {
        /// Operators keep a data centre evacuated for a long time, so frequent retries would be
        /// useless.
        const EVACUATED_RETRY_AFTER: Duration = Duration::from_secs(1);
        let wait = |it: &Endpoint| match it.access {
            DataCentreAccess::Open => it.wait(now),
            DataCentreAccess::Evacuated => EVACUATED_RETRY_AFTER.max(it.wait(now)),
        };
        let ready = self.endpoints_of(service).filter(|(_, it)| it.is_ready());
        ready.map(|(_, it)| wait(it)).min().unwrap_or_default()
    }
}

fn access(evacuations: &Evacuations, data_centre: &DataCentre) -> DataCentreAccess {
    if evacuations.is_evacuated(data_centre) {
        DataCentreAccess::Evacuated
    } else {
        DataCentreAccess::Open
    }
}
