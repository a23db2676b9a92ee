//! Request rates that endpoints state in their responses.
//!
//! An endpoint tells only the hosts whose requests it answers, and means the sum of all hosts'
//! requests. So hosts send each other what they were told, and divide the rate like that of cold
//! endpoints: see `docs/design/rate-limits.md`.

mod report;

use std::time::Duration;

use derive_more::Display;
use serde::{Deserialize, Serialize};

use crate::endpoint::ProcessId;
use crate::peers::{Division, Peers};

pub(crate) use report::Effect;
pub use report::Report;

/// The time for which one group of hosts may send while nobody uses an endpoint's rate.
const TURN: Duration = Duration::from_secs(1);
/// The wait that is reported while other hosts may send.
const OTHERS_TURN_WAIT: Duration = Duration::from_secs(1);

/// The requests per second that an endpoint takes from all hosts together.
#[derive(Clone, Copy, Debug, Display, PartialEq, PartialOrd, Serialize, Deserialize)]
pub struct RequestRate(f64);

impl RequestRate {
    /// Creates a rate in requests per second; `None` if it is negative or not finite.
    #[must_use]
    pub fn per_second(rate: f64) -> Option<Self> {
        (rate.is_finite() && rate >= 0.0).then_some(Self(rate))
    }
}

/// A change of the rate that an endpoint states.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Change {
    /// It states this rate from now on.
    Stated(RequestRate),
    /// It states none any more.
    Lifted,
}

/// The rate that an endpoint states, and this host's part of it.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct RateLimit {
    rate: Option<RequestRate>,
    /// Orders the reports of hosts: each change has a higher version than the one before.
    /// Odd while the endpoint states a rate.
    version: u32,
    /// The time at which this host learned of this version.
    changed_at: Duration,
    /// The last time at which a host is known to have sent a request.
    used_at: Duration,
    /// The last use that other hosts were told of.
    reported_use: Duration,
    /// The earliest time for this host's next request.
    next_request: Duration,
    /// `None` while this host doesn't know the others.
    division: Option<Division>,
    /// The time without use after which other hosts may use the rate.
    handover_delay: Duration,
}

impl RateLimit {
    /// Returns the rate that the endpoint states.
    pub(crate) fn rate(&self) -> Option<RequestRate> {
        self.rate
    }

    /// Returns the time at which this host learned of the rate, or that there is none any more.
    pub(crate) fn changed_at(&self) -> Duration {
        self.changed_at
    }

    /// Records what the response to a request sent at `sent_at` states, and returns the change.
    ///
    /// A response without a rate lifts the limit only if its request was sent after this host
    /// learned of the limit: responses overtake each other.
    pub(crate) fn record(
        &mut self,
        now: Duration,
        sent_at: Duration,
        stated: Option<RequestRate>,
    ) -> Option<Change> {
        let change = match (self.rate, stated) {
            (before, after) if before == after => return None,
            (_, Some(rate)) => Change::Stated(rate),
            (_, None) if sent_at <= self.changed_at => return None,
            (_, None) => Change::Lifted,
        };
        self.version = match change {
            Change::Stated(_) => self.version.saturating_add(1) | 1,
            Change::Lifted => self.version.saturating_add(1),
        };
        self.rate = stated;
        self.changed_at = now;
        self.used_at = now;
        self.reported_use = now;
        Some(change)
    }

    /// Sets this host's part of the rate. `refresh_interval` is that of reports of its use.
    pub(crate) fn divide(
        &mut self,
        endpoint: ProcessId,
        peers: Option<&Peers>,
        refresh_interval: Duration,
    ) {
        /// The number of reports that may be late or lost before other hosts use the rate.
        const MAX_MISSED_REPORTS: u32 = 3;
        let rate = self.rate;
        self.division = peers.and_then(|it| Some(it.divide(rate?.0, endpoint)));
        let interval = self.division.map(|it| it.interval).unwrap_or_default();
        self.handover_delay = interval + refresh_interval * MAX_MISSED_REPORTS;
    }

    /// Returns how long this host must wait before it sends a request.
    pub(crate) fn wait(&self, now: Duration) -> Duration {
        if self.rate.is_none() {
            return Duration::ZERO;
        }
        match self.division {
            Some(it) if self.turn(now) % it.groups as u128 == it.group as u128 => {
                self.next_request.saturating_sub(now)
            }
            _ => OTHERS_TURN_WAIT,
        }
    }

    /// Returns the number of the turn, and with it the group of hosts that may send. The first
    /// group may, until nobody has used the rate for a while; then the groups take turns.
    ///
    /// The hosts of the first group may have exited, or have no requests for the endpoint. Nobody
    /// would use it then, and nobody would learn that it takes more requests again.
    fn turn(&self, now: Duration) -> u128 {
        let unused = now.saturating_sub(self.used_at);
        match unused.checked_sub(self.handover_delay) {
            Some(it) => 1 + it.as_nanos() / TURN.as_nanos(),
            None => 0,
        }
    }

    /// Records that this host sends a request. Returns whether other hosts should be told.
    pub(crate) fn record_send(&mut self, now: Duration, refresh_interval: Duration) -> bool {
        if let Some(it) = self.division {
            self.next_request = now + it.interval;
        }
        self.record_use(now, refresh_interval)
    }

    fn record_use(&mut self, at: Duration, refresh_interval: Duration) -> bool {
        self.used_at = self.used_at.max(at);
        let is_due = self.rate.is_some() && self.used_at >= self.reported_use + refresh_interval;
        if is_due {
            self.reported_use = self.used_at;
        }
        is_due
    }
}
