//! Whether the store was away, and what a missing entry means after that.

use std::time::Duration;

use route::directory::Absence;

/// How long after an outage entries may be missing of endpoints that live.
const LAPSED: Duration = Duration::from_millis(2_200);

/// Whether the store was away, as far as this host's own readings tell.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Outage {
    failed: Option<Duration>,
}

impl Outage {
    /// Takes it that a reading failed.
    pub fn fail(&mut self, now: Duration) {
        self.failed = Some(now);
    }

    /// What a missing entry means in a listing that is read now, after the one in force
    /// that any host read at `known.0`.
    #[must_use]
    pub fn absence(&self, now: Duration, _known: Option<(Duration, Absence)>) -> Absence {
        match self.failed {
            Some(at) if now.saturating_sub(at) < LAPSED => Absence::Lapsed,
            _ => Absence::Gone,
        }
    }
}
