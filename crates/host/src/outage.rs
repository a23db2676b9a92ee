//! Detects outages of the store, after which a missing entry may have lapsed.

use std::time::Duration;

use route::directory::Absence;

/// Time after an outage or a restore of the store for which entries of live endpoints may be
/// missing.
const RENEWAL_TIME: Duration = Duration::from_millis(2_200);
/// Number of heartbeats of an endpoint that can be missed in the shortest outage of the store in
/// which its entry lapses. The entry is removed after three missed ones, and the last one may have
/// been written up to one interval before the outage.
const MISSED_HEARTBEATS: u32 = 2;
/// Difference by which removals may be early.
const REMOVAL_MARGIN: Duration = Duration::from_millis(400);

/// The outages of the store that this host's own readings indicate.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Outage {
    /// Shortest outage of the store in which entries can lapse.
    shortest: Duration,
    /// The last failed reading.
    last_failure: Option<Duration>,
    /// The first successful reading after an outage.
    returned: Option<Duration>,
    /// The first reading after the store was restored from an older copy.
    restored: Option<Duration>,
}

impl Outage {
    /// Creates the state of a host that knows of no outage. `heartbeat` is the interval at which
    /// endpoints renew their entries.
    #[must_use]
    pub fn new(heartbeat: Duration) -> Self {
        let shortest = heartbeat * MISSED_HEARTBEATS;
        Self {
            shortest: shortest.saturating_sub(REMOVAL_MARGIN),
            last_failure: None,
            returned: None,
            restored: None,
        }
    }

    /// Records a failed reading.
    pub fn record_failure(&mut self, now: Duration) {
        self.last_failure = Some(now);
    }

    /// Records that the store was restored from an older copy. The copy lacks entries that
    /// were written later; their endpoints are live and will renew them.
    pub fn record_restore(&mut self, now: Duration) {
        self.restored = Some(now);
    }

    /// Returns the meaning of a missing entry in a listing that is read now. `known` is the
    /// time at which the listing in use was read, by any host, and the meaning of a missing
    /// entry in it.
    ///
    /// Failed readings of this host alone don't prove an outage: it may have been cut off
    /// while the others read the store. If it took missing entries for lapsed, the others
    /// would follow, and keep sending requests to endpoints that are gone. A listing in
    /// use in which a missing entry means `Gone`, and which is younger than that, shows
    /// that nothing has lapsed since.
    ///
    /// Nor does a lack of recent failures prove that there was no outage: this host may have
    /// started during it, or waited long between two calls. It then relies on what the
    /// listing in use says.
    pub fn absence(&mut self, now: Duration, known: Option<(Duration, Absence)>) -> Absence {
        if !self.may_have_lapsed(now, known) {
            self.returned = None;
            return Absence::Gone;
        }
        let returned = *self.returned.get_or_insert(now);
        // Later failures don't extend the time: with a store that fails intermittently,
        // endpoints that are gone would stay in use forever.
        if now.saturating_sub(returned) < RENEWAL_TIME {
            Absence::Lapsed
        } else {
            Absence::Gone
        }
    }

    fn may_have_lapsed(&self, now: Duration, known: Option<(Duration, Absence)>) -> bool {
        if self
            .restored
            .is_some_and(|it| now.saturating_sub(it) < RENEWAL_TIME)
        {
            return true;
        }
        match known {
            Some((_, Absence::Lapsed)) => true,
            Some((at, Absence::Gone)) => {
                let has_failed_since = self.last_failure.is_some_and(|it| it >= at);
                has_failed_since && now.saturating_sub(at) >= self.shortest
            }
            None => self.last_failure.is_some(),
        }
    }
}
