//! Quarantined requests.

use std::time::Duration;

use super::HELD;

/// The state of a quarantined request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Held {
    /// When it was quarantined.
    pub(super) since: Duration,
    /// When this host's information on it last changed.
    pub(super) changed: Duration,
    /// Whether the store contains it, so that it survives a restart of all hosts.
    pub(super) is_kept: bool,
}

impl Held {
    /// Returns how much longer it is quarantined.
    pub(super) fn left(&self, now: Duration) -> Duration {
        (self.since + HELD).saturating_sub(now)
    }
}
