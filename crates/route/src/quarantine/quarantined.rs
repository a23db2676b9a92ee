//! Quarantined requests.

use std::time::Duration;

use super::QUARANTINE_TIME;

/// The state of a quarantined request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct QuarantinedRequest {
    /// The time at which it was quarantined.
    pub(super) since: Duration,
    /// The time at which this host's information on it last changed.
    pub(super) changed: Duration,
    /// Whether the store contains it, so that it survives a restart of all hosts.
    pub(super) is_persisted: bool,
}

impl QuarantinedRequest {
    /// Returns how much longer it is quarantined.
    pub(super) fn time_left(&self, now: Duration) -> Duration {
        (self.since + QUARANTINE_TIME).saturating_sub(now)
    }
}
