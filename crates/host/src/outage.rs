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
    /// This host's first reading after it.
    returned: Option<Duration>,
    /// This host's first reading after the store came back from an older copy.
    restored: Option<Duration>,
}

impl Outage {
    /// Takes it that a reading failed.
    pub fn fail(&mut self, now: Duration) {
        self.failed = Some(now);
    }

    /// Takes it that the store came back from an older copy, which lacks entries that were
    /// written since: their endpoints live, and renew them.
    pub fn restore(&mut self, now: Duration) {
        self.restored = Some(now);
    }

    /// What a missing entry means in a listing that is read now, where `known` tells when
    /// the one in force was read, by whichever host, and what it meant in that one.
    ///
    /// Failures of this host alone don't tell that the store was away: while one was cut
    /// off from it, the others read it, and kept for its sake an endpoint whose entry was
    /// gone, 0.1 s longer than the two seconds for which it may get new work. Where a
    /// listing that could be relied on is younger than [`AWAY`], nothing has lapsed since.
    ///
    /// Nor does it tell that all is well where this host's readings haven't failed, or
    /// did so long ago: it may have started meanwhile, or waited long between two
    /// questions. What the others say of the listing in force counts then.
    pub fn absence(&mut self, now: Duration, known: Option<(Duration, Absence)>) -> Absence {
        if !self.was_away(now, known) {
            self.returned = None;
            return Absence::Gone;
        }
        let returned = *self.returned.get_or_insert(now);
        // Failures after the return don't prolong it: a store that fails now and then
        // would have endpoints kept for ever that are gone.
        if now.saturating_sub(returned) < LAPSED {
            Absence::Lapsed
        } else {
            Absence::Gone
        }
    }

    fn was_away(&self, now: Duration, known: Option<(Duration, Absence)>) -> bool {
        if self
            .restored
            .is_some_and(|it| now.saturating_sub(it) < LAPSED)
        {
            return true;
        }
        match known {
            Some((_, Absence::Lapsed)) => true,
            Some((at, Absence::Gone)) => {
                let has_failed_since = self.failed.is_some_and(|it| it >= at);
                has_failed_since && now.saturating_sub(at) >= AWAY
            }
            None => self.failed.is_some(),
        }
    }
}
