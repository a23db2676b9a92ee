//! Whether the store was away, and what a missing entry means after that.

use std::time::Duration;

use route::directory::Absence;

/// How long after an outage entries may be missing of endpoints that live.
const LAPSED: Duration = Duration::from_millis(2_200);
/// How long the store must have been away before entries lapse. An endpoint's entry is
/// removed after three heartbeats of silence, 3.6 s at the deployments' 1.2 s, and the
/// last heartbeat was taken within 1.2 s before the outage.
const AWAY: Duration = Duration::from_secs(2);

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

    /// What a missing entry means in a listing that is read now, where `known` tells when
    /// the one in force was read, by whichever host, and what it meant in that one.
    ///
    /// Failures of this host alone don't tell that the store was away: while one was cut
    /// off from it, the others read it, and kept for its sake an endpoint whose entry was
    /// gone, 0.1 s longer than the two seconds for which it may get new work. Where a
    /// listing that could be relied on is younger than [`AWAY`], nothing has lapsed since.
    #[must_use]
    pub fn absence(&mut self, now: Duration, known: Option<(Duration, Absence)>) -> Absence {
        let was_read = known
            .is_some_and(|(at, absence)| absence == Absence::Gone && now.saturating_sub(at) < AWAY);
        match self.failed {
            Some(at) if now.saturating_sub(at) < LAPSED && !was_read => Absence::Lapsed,
            _ => Absence::Gone,
        }
    }
}
