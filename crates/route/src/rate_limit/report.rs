//! Reports between hosts on the request rates that endpoints state.

use std::time::Duration;

use kernel::{EndpointId, Incarnation};
use serde::{Deserialize, Serialize};

use super::{Change, RateLimit, RequestRate};
use crate::endpoint::{Entry, ProcessId};

/// A host's report of the rate that an endpoint states.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// The start of the endpoint that the report is about.
    pub incarnation: Option<Incarnation>,
    /// The stated rate; `None` if the endpoint states none any more.
    pub rate: Option<RequestRate>,
    /// The number of changes up to this one.
    pub version: u32,
    /// The time since a host last sent a request.
    pub unused: Duration,
}

impl Report {
    /// Returns the process that states the rate.
    pub(crate) fn process(&self) -> ProcessId {
        ProcessId::new(&self.endpoint, self.incarnation)
    }
}

/// The effect of a report.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Effect {
    /// The rate, or its version, is another one.
    Changed(Option<Change>),
    /// A use of the rate became known that other hosts should be told of.
    Used,
    /// Nothing that other hosts need to know.
    Nothing,
}

impl RateLimit {
    pub(crate) fn report(&self, now: Duration, entry: &Entry) -> Report {
        Report {
            endpoint: entry.id.clone(),
            incarnation: entry.incarnation,
            rate: self.rate,
            version: self.version,
            unused: now.saturating_sub(self.used_at),
        }
    }

    /// Applies another host's report. Of two hosts that were told different rates at the same time,
    /// the lower rate is kept.
    pub(crate) fn apply(
        &mut self,
        now: Duration,
        report: &Report,
        refresh_interval: Duration,
    ) -> Effect {
        let used_at = now.saturating_sub(report.unused);
        let is_lower = report.version == self.version && report.rate < self.rate;
        if report.version > self.version || is_lower {
            let change = match (self.rate, report.rate) {
                (before, after) if before == after => None,
                (_, Some(rate)) => Some(Change::Stated(rate)),
                (_, None) => Some(Change::Lifted),
            };
            self.rate = report.rate;
            self.version = report.version;
            self.changed_at = now;
            self.used_at = self.used_at.max(used_at);
            self.reported_use = self.used_at;
            return Effect::Changed(change);
        }
        if report.version == self.version && self.record_use(used_at, refresh_interval) {
            return Effect::Used;
        }
        Effect::Nothing
    }
}
