//! The load, health and admission state of one endpoint, called a replica in this
//! crate's code.

use std::time::Duration;

use crate::endpoint::{Distance, Id, Load, Role, State, Update};
use crate::key;
use crate::policy::Priority;

slotmap::new_key_type! {
    /// The key of an endpoint in the directory.
    pub(crate) struct Key;
}

/// The number of slots assumed of an endpoint without a load report.
const DEFAULT_SLOTS: u32 = 4;
/// Duration of the slow start, in which a new endpoint gets reduced load while its
/// caches fill.
const SLOW_START_TIME: Duration = Duration::from_secs(10);
/// The fraction of its slots that a new endpoint starts with.
const SLOW_START_FRACTION: f64 = 0.2;
/// Duration of the pause of requests to an endpoint after it reports overload.
const OVERLOAD_PAUSE: Duration = Duration::from_millis(200);
/// The age above which [`Replica::may_be_full`] counts a load report as stale, and the
/// time after an overload pause in which it counts the overload as recent.
const RECENT_LOAD_TIME: Duration = Duration::from_secs(5);
/// The number of consecutive failures that ejects an endpoint.
const EJECT_AFTER_FAILURES: u32 = 3;
/// Duration of an endpoint's ejection.
const EJECTION_TIME: Duration = Duration::from_secs(5);

/// The state of one endpoint as this host knows it.
#[derive(Clone, Debug)]
pub(crate) struct Replica {
    pub(crate) id: Id,
    pub(crate) role: Role,
    pub(crate) distance: Distance,
    pub(crate) state: State,
    /// The loaded versions that the current policy contains.
    pub(crate) versions: Vec<key::Version>,
    pub(crate) service: Option<key::Service>,
    added_at: Duration,
    load: Option<Load>,
    /// The time at which the last load report was made.
    reported_at: Duration,
    /// The limit on this host's new requests between load reports, so that hosts don't
    /// overload the endpoint together: twice an equal share of the slots that were
    /// free in the last report, but at least 1, and [`DEFAULT_SLOTS`] before the first.
    /// [`Self::has_room`] scales it by priority.
    max_new_requests: f64,
    in_flight: u32,
    /// This host's requests in flight when the last load report was received.
    in_flight_at_report: u32,
    /// The limit on this host's requests in flight. Decreases multiplicatively on
    /// overload and increases additively on success, so that hosts share the
    /// slots without seeing each other's requests.
    window: f64,
    paused_until: Duration,
    ejected_until: Duration,
    consecutive_failures: u32,
}

impl Replica {
    pub(crate) fn new(now: Duration, live_hosts: u32, update: &Update) -> Self {
        let mut it = Self {
            id: update.id,
            role: update.role.clone(),
            distance: update.distance,
            state: update.state,
            versions: Vec::new(),
            service: None,
            added_at: now,
            load: None,
            reported_at: Duration::ZERO,
            max_new_requests: f64::from(DEFAULT_SLOTS),
            in_flight: 0,
            in_flight_at_report: 0,
            window: f64::from(DEFAULT_SLOTS),
            paused_until: Duration::ZERO,
            ejected_until: Duration::ZERO,
            consecutive_failures: 0,
        };
        it.record_load(now, live_hosts, update.load);
        it
    }

    /// Applies a load report. `None`, or a report of no slots, keeps the last one.
    pub(crate) fn record_load(&mut self, now: Duration, live_hosts: u32, load: Option<Load>) {
        let Some(load) = load.filter(|it| it.slots > 0) else {
            return;
        };
        if self.load.is_none_or(|it| it.slots != load.slots) {
            // Starts at twice an equal share and grows with each success, so that
            // hosts which all see a free endpoint don't overload it.
            let max_window = f64::from(load.slots) * Self::slot_fraction(Priority::Urgent);
            self.window =
                (2.0 * max_window / f64::from(live_hosts)).clamp(2.0, max_window.max(2.0));
        }
        let free = f64::from(load.slots.saturating_sub(load.running + load.waiting));
        self.max_new_requests = (2.0 * free / f64::from(live_hosts)).max(1.0);
        self.load = Some(load);
        self.reported_at = now.saturating_sub(load.age);
        self.in_flight_at_report = self.in_flight;
    }

    /// Returns whether the endpoint has capacity for a request of this priority.
    pub(crate) fn has_room(&self, now: Duration, priority: Priority) -> bool {
        if now < self.paused_until || f64::from(self.in_flight) >= self.window {
            return false;
        }
        let new = self.in_flight.saturating_sub(self.in_flight_at_report);
        if f64::from(new) >= self.max_new_requests * Self::slot_fraction(priority) {
            return false;
        }
        let limit = f64::from(self.slots()) * Self::slot_fraction(priority);
        let started = self.slow_start_factor(now) * limit;
        f64::from(self.requests_at_endpoint()) < limit
            && f64::from(self.in_flight) < started.max(1.0)
    }

    /// Returns whether the endpoint is ejected after consecutive failures. Ejected
    /// endpoints are still used if no other has capacity.
    pub(crate) fn is_ejected(&self, now: Duration) -> bool {
        now < self.ejected_until
    }

    /// Returns the utilization: 0 is idle, 1 means that all slots are in use. A new
    /// endpoint counts only part of its slots.
    pub(crate) fn utilization(&self, now: Duration) -> f64 {
        f64::from(self.requests_at_endpoint())
            / (f64::from(self.slots()) * self.slow_start_factor(now))
    }

    pub(crate) fn in_flight(&self) -> u32 {
        self.in_flight
    }

    /// Returns whether a new request may have to wait at the endpoint: all slots are
    /// in use, the load report is stale, or the endpoint was recently overloaded.
    /// Within [`RECENT_LOAD_TIME`] of the clock's zero, every endpoint counts as recently
    /// overloaded.
    pub(crate) fn may_be_full(&self, now: Duration) -> bool {
        let stale = self.load.is_none() || now.saturating_sub(self.reported_at) > RECENT_LOAD_TIME;
        let refused = now < self.paused_until + RECENT_LOAD_TIME;
        stale || refused || self.requests_at_endpoint() >= self.slots()
    }

    pub(crate) fn begin_attempt(&mut self) {
        self.in_flight += 1;
    }

    /// Records the end of an attempt, whatever its outcome.
    pub(crate) fn end_attempt(&mut self) {
        self.in_flight = self.in_flight.saturating_sub(1);
    }

    pub(crate) fn record_success(&mut self) {
        self.consecutive_failures = 0;
        let max_window = f64::from(self.slots()) * Self::slot_fraction(Priority::Urgent);
        self.window = (self.window + 1.0 / self.window).min(max_window);
    }

    /// Records a failure; ejects the endpoint after several in a row.
    pub(crate) fn record_failure(&mut self, now: Duration) {
        self.consecutive_failures += 1;
        if self.consecutive_failures >= EJECT_AFTER_FAILURES {
            self.consecutive_failures = 0;
            self.ejected_until = now + EJECTION_TIME;
        }
    }

    /// Records an overload response: lowers the window and, because load reports lag,
    /// pauses the endpoint for [`OVERLOAD_PAUSE`].
    pub(crate) fn record_overload(&mut self, now: Duration) {
        self.window = (self.window * 0.7).max(1.0);
        self.paused_until = self.paused_until.max(now + OVERLOAD_PAUSE);
    }

    pub(crate) fn serves(&self, version: key::Version) -> bool {
        self.versions.contains(&version)
    }

    /// Estimates the number of running and waiting requests, which may exceed the
    /// slots: the last load report, corrected by the requests that this host started
    /// and finished since.
    fn requests_at_endpoint(&self) -> u32 {
        let reported = self.load.map_or(0, |it| it.running + it.waiting);
        let since = self.in_flight.saturating_sub(self.in_flight_at_report);
        let ended = self.in_flight_at_report.saturating_sub(self.in_flight);
        (reported + since).saturating_sub(ended).max(self.in_flight)
    }

    pub(crate) fn slots(&self) -> u32 {
        self.load.map_or(DEFAULT_SLOTS, |it| it.slots)
    }

    fn slow_start_factor(&self, now: Duration) -> f64 {
        let age = now.saturating_sub(self.added_at).as_secs_f64();
        (age / SLOW_START_TIME.as_secs_f64()).clamp(SLOW_START_FRACTION, 1.0)
    }

    /// Returns the fraction of the slots that a priority may use. Batch requests
    /// leave some free for the others; urgent requests may exceed the slots,
    /// because engines schedule by priority.
    fn slot_fraction(priority: Priority) -> f64 {
        match priority {
            Priority::Urgent => 1.25,
            Priority::Interactive => 1.0,
            Priority::Batch => 0.8,
        }
    }
}
