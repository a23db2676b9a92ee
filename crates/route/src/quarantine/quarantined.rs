//! Quarantined requests and parts.

use std::time::Duration;

/// The state of a quarantined request or part.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct QuarantinedRequest {
    /// The time at which it was quarantined.
    pub(super) since: Duration,
    /// The time at which this host's information on it last changed.
    pub(super) changed: Duration,
    /// The duration of the quarantine.
    pub(super) duration: Duration,
    /// Whether the store contains it, so that it survives a restart of all hosts.
    pub(super) is_persisted: bool,
}

impl QuarantinedRequest {
    /// Returns how much longer it is quarantined.
    pub(super) fn time_left(&self, now: Duration) -> Duration {
        (self.since + self.duration).saturating_sub(now)
    }
}
