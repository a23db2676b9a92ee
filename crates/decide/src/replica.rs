//! What this host knows of one endpoint.

use std::time::Duration;

use crate::endpoint::{Distance, Id, Load, Role, State, Update};
use crate::key;
use crate::policy::Priority;

slotmap::new_key_type! {
    /// An endpoint that this host knows.
    pub(crate) struct Key;
}

/// Requests that an endpoint without a load report is trusted with at once.
const UNREPORTED_SLOTS: u32 = 4;
/// How long a new endpoint gets less than its share, while its caches fill.
const SLOW_START: Duration = Duration::from_secs(10);
/// The share that a new endpoint starts with.
const FIRST_SHARE: f64 = 0.2;
/// How long an endpoint is left alone after it said that it is full.
const FULL_PAUSE: Duration = Duration::from_millis(200);
/// How long a report or a refusal tells how full an endpoint is.
const FRESH: Duration = Duration::from_secs(5);
/// Failures in a row after which an endpoint is left alone.
const EJECT_AFTER: u32 = 3;
/// How long it is left alone then.
const EJECT_FOR: Duration = Duration::from_secs(5);

/// What this host knows of one endpoint.
#[derive(Clone, Debug)]
pub(crate) struct Replica {
    pub(crate) id: Id,
    pub(crate) role: Role,
    pub(crate) distance: Distance,
    pub(crate) state: State,
    /// The versions of the present policy that it has loaded.
    pub(crate) versions: Vec<key::Version>,
    pub(crate) service: Option<key::Service>,
    since: Duration,
    load: Option<Load>,
    /// When the newest report was made.
    reported: Duration,
    /// Twice an even share of what was free at the newest report: between two
    /// reports a host takes no more, or all hosts would fill it at once.
    free_share: f64,
    in_flight: u32,
    /// Own work that the newest report already counts.
    in_flight_at_report: u32,
    /// Own work that it may have at once: halved when it says that it is full,
    /// and regained answer by answer, so that hosts that don't see each other's
    /// work share its slots.
    window: f64,
    paused_until: Duration,
    ejected_until: Duration,
    failures: u32,
}

impl Replica {
    pub(crate) fn new(now: Duration, live: u32, update: &Update) -> Self {
        let mut it = Self {
            id: update.id,
            role: update.role.clone(),
            distance: update.distance,
            state: update.state,
            versions: Vec::new(),
            service: None,
            since: now,
            load: None,
            reported: Duration::ZERO,
            free_share: f64::from(UNREPORTED_SLOTS),
            in_flight: 0,
            in_flight_at_report: 0,
            window: f64::from(UNREPORTED_SLOTS),
            paused_until: Duration::ZERO,
            ejected_until: Duration::ZERO,
            failures: 0,
        };
        it.report(now, live, update.load);
        it
    }

    /// Takes a load report; none leaves the last one.
    pub(crate) fn report(&mut self, now: Duration, live: u32, load: Option<Load>) {
        let Some(load) = load.filter(|it| it.slots > 0) else {
            return;
        };
        if self.load.is_none_or(|it| it.slots != load.slots) {
            // Twice an even share: more is won answer by answer, so that hosts which
            // all see a free endpoint don't fill it several times over.
            let most = f64::from(load.slots) * Self::most(Priority::Urgent);
            self.window = (2.0 * most / f64::from(live)).clamp(2.0, most.max(2.0));
        }
        let free = f64::from(load.slots.saturating_sub(load.running + load.waiting));
        self.free_share = (2.0 * free / f64::from(live)).max(1.0);
        self.load = Some(load);
        self.reported = now.saturating_sub(load.age);
        self.in_flight_at_report = self.in_flight;
    }

    /// Whether one more request of this priority fits.
    pub(crate) fn has_room(&self, now: Duration, priority: Priority) -> bool {
        if now < self.paused_until || f64::from(self.in_flight) >= self.window {
            return false;
        }
        let new = self.in_flight.saturating_sub(self.in_flight_at_report);
        if f64::from(new) >= self.free_share * Self::most(priority) {
            return false;
        }
        let limit = f64::from(self.slots()) * Self::most(priority);
        let started = self.ramp(now) * limit;
        f64::from(self.busy()) < limit && f64::from(self.in_flight) < started.max(1.0)
    }

    /// Whether it is left alone after failures, as long as others have room: where
    /// all are, the fault isn't theirs.
    pub(crate) fn is_ejected(&self, now: Duration) -> bool {
        now < self.ejected_until
    }

    /// How full it is: 0 is idle, 1 has all slots taken.
    pub(crate) fn fill(&self, now: Duration) -> f64 {
        f64::from(self.busy()) / (f64::from(self.slots()) * self.ramp(now))
    }

    pub(crate) fn in_flight(&self) -> u32 {
        self.in_flight
    }

    /// Whether work may have to wait there. An old report, or a refusal not long
    /// ago, leaves that open.
    pub(crate) fn may_be_full(&self, now: Duration) -> bool {
        let stale = self.load.is_none() || now.saturating_sub(self.reported) > FRESH;
        let refused = now < self.paused_until + FRESH;
        stale || refused || self.busy() >= self.slots()
    }

    pub(crate) fn sent(&mut self) {
        self.in_flight += 1;
    }

    /// An attempt is over, in whatever way.
    pub(crate) fn freed(&mut self) {
        self.in_flight = self.in_flight.saturating_sub(1);
    }

    pub(crate) fn succeeded(&mut self) {
        self.failures = 0;
        let most = f64::from(self.slots()) * Self::most(Priority::Urgent);
        self.window = (self.window + 1.0 / self.window).min(most);
    }

    /// It failed; after some in a row it is left alone for a while.
    pub(crate) fn failed(&mut self, now: Duration) {
        self.failures += 1;
        if self.failures >= EJECT_AFTER {
            self.failures = 0;
            self.ejected_until = now + EJECT_FOR;
        }
    }

    /// It said that it is full. Reports lag, so the pause holds until one that
    /// was made after this can have come.
    pub(crate) fn overloaded(&mut self, now: Duration) {
        self.window = (self.window * 0.7).max(1.0);
        self.paused_until = self.paused_until.max(now + FULL_PAUSE);
    }

    pub(crate) fn serves(&self, version: key::Version) -> bool {
        self.versions.contains(&version)
    }

    /// What runs or waits there: the last report, corrected by what this host
    /// has sent and seen end since.
    fn busy(&self) -> u32 {
        let reported = self.load.map_or(0, |it| it.running + it.waiting);
        let since = self.in_flight.saturating_sub(self.in_flight_at_report);
        let ended = self.in_flight_at_report.saturating_sub(self.in_flight);
        (reported + since).saturating_sub(ended).max(self.in_flight)
    }

    pub(crate) fn slots(&self) -> u32 {
        self.load.map_or(UNREPORTED_SLOTS, |it| it.slots)
    }

    fn ramp(&self, now: Duration) -> f64 {
        let age = now.saturating_sub(self.since).as_secs_f64();
        (age / SLOW_START.as_secs_f64()).clamp(FIRST_SHARE, 1.0)
    }

    /// The share of the slots that a priority may fill. Batch work leaves some
    /// free, so that urgent work finds one without waiting for a long answer to
    /// end; urgent work may go beyond, since engines honour priorities.
    fn most(priority: Priority) -> f64 {
        match priority {
            Priority::Urgent => 1.25,
            Priority::Interactive => 1.0,
            Priority::Batch => 0.8,
        }
    }
}
