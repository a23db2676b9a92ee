//! Requests that are held.

use std::time::Duration;

use super::HELD;

/// A request that is held.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Held {
    /// Since when.
    pub(super) since: Duration,
    /// When this host last learned something of it.
    pub(super) changed: Duration,
    /// Whether the store has it, for hosts that all start again.
    pub(super) is_kept: bool,
}

impl Held {
    /// How much longer it is held.
    pub(super) fn left(&self, now: Duration) -> Duration {
        (self.since + HELD).saturating_sub(now)
    }
}
