//! Tells entries that are gone from those that may have lapsed in an outage of the store.

use std::time::Duration;

use route::directory::Absence;

/// Time after an outage or a restore of the store for which entries of live endpoints may be
/// missing.
const RENEWAL_TIME: Duration = Duration::from_millis(2_200);
/// Time after [`RENEWAL_TIME`] at which the listing is read for its removals, so that all hosts
/// agree that it is over: on its way through the hosts a coverage gets shorter.
const RENEWAL_MARGIN: Duration = Duration::from_millis(200);
/// Number of heartbeats of an endpoint that can be missed in the shortest outage of the store in
/// which its entry lapses. The entry is removed after three missed ones, and the last one may have
/// been written up to one interval before the outage.
const MISSED_HEARTBEATS: u32 = 2;
/// Difference by which removals may be early.
const REMOVAL_MARGIN: Duration = Duration::from_millis(400);

/// Returns the duration of the shortest outage of the store in which an entry can lapse that is
/// renewed at intervals of `heartbeat`.
#[must_use]
pub fn shortest_outage(heartbeat: Duration) -> Duration {
    (heartbeat * MISSED_HEARTBEATS).saturating_sub(REMOVAL_MARGIN)
}

/// Allowance for the transfer time, added to each age that another host sends. Without it, hosts
/// would take state that was passed on by several others for newer than it is.
const TRANSFER_ALLOWANCE: Duration = Duration::from_millis(20);

/// Returns the local time at which something was read, given its age in a message that another host
/// sent at `sent` or later.
pub(crate) fn age_to_time(sent: Duration, age: Duration) -> Duration {
    sent.saturating_sub(age.saturating_add(TRANSFER_ALLOWANCE))
}

/// A span of time in which hosts read the listing of endpoints again and again, so that no outage
/// of the store in which entries lapse can have happened.
///
/// Any host's readings count. A host that finds its own calls failing can't tell an outage from a
/// cut between itself and the store; the readings of the others can. So the hosts pass on what they
/// know to be covered, and join it: an outage is what no host's readings cover. See
/// `docs/design/relay.md`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Coverage {
    /// The time of the last reading.
    until: Duration,
    /// The time from the first reading to the last one.
    length: Duration,
}

impl Coverage {
    /// Creates the coverage of a single reading.
    #[must_use]
    pub fn of_reading(at: Duration) -> Self {
        Self::new(at, Duration::ZERO)
    }

    /// Creates the coverage of readings over a time of `length`, the last of them at `until`.
    #[must_use]
    pub fn new(until: Duration, length: Duration) -> Self {
        Self { until, length }
    }

    /// Creates the coverage that another host reported between `sent` and `now`, by its length and
    /// the age of its last reading.
    ///
    /// The last reading doesn't appear later than it was, nor the first one earlier, which would
    /// move back with each host that passes the coverage on. A coverage too short for both begins
    /// as late as it may.
    #[must_use]
    pub fn of_report(sent: Duration, now: Duration, age: Duration, length: Duration) -> Self {
        let uncertainty = now.saturating_sub(sent) + TRANSFER_ALLOWANCE;
        match length.checked_sub(uncertainty) {
            Some(length) => Self::new(age_to_time(sent, age), length),
            None => Self::of_reading(now.saturating_sub(age + length)),
        }
    }

    /// Returns the time of the last reading.
    #[must_use]
    pub fn until(self) -> Duration {
        self.until
    }

    /// Returns the time from the first reading to the last one.
    #[must_use]
    pub fn length(self) -> Duration {
        self.length
    }

    /// Returns the later coverage, together with the earlier one if there can't have been an outage
    /// of `shortest_outage` between them.
    #[must_use]
    pub fn joined(self, other: Self, shortest_outage: Duration) -> Self {
        let (earlier, later) = if self.until <= other.until {
            (self, other)
        } else {
            (other, self)
        };
        let apart = later.until.saturating_sub(earlier.until);
        let gap = apart.saturating_sub(later.length);
        if gap >= shortest_outage {
            return later;
        }
        Self::new(later.until, later.length.max(earlier.length + apart))
    }

    /// Returns this coverage with the beginning that it has together with another one.
    #[must_use]
    pub fn extended_by(self, other: Self, shortest_outage: Duration) -> Self {
        let joined = self.joined(other, shortest_outage);
        let length = joined
            .length
            .saturating_sub(joined.until.saturating_sub(self.until));
        Self::new(self.until, length.max(self.length))
    }

    /// Returns the meaning of a missing entry in the last reading. Before the first reading there
    /// may have been an outage, and live endpoints take some time to renew their entries after it.
    #[must_use]
    pub fn absence(self) -> Absence {
        if self.length < RENEWAL_TIME {
            Absence::Lapsed
        } else {
            Absence::Gone
        }
    }

    /// Returns the time at which the next reading shows which of the missing entries are gone;
    /// `None` if the last one does.
    #[must_use]
    pub fn doubtful_until(self) -> Option<Duration> {
        let rest = (RENEWAL_TIME + RENEWAL_MARGIN).saturating_sub(self.length);
        (self.absence() == Absence::Lapsed).then(|| self.until + rest)
    }
}
