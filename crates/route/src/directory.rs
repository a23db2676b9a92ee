//! The known endpoints, with their state, load and health.

mod brittle;
mod cold_start;
mod endpoint;
mod evacuate;
mod event_intervals;
mod load;
mod pace_clock;
mod rate_limits;
mod speed;

use std::cmp::Ordering;
use std::collections::{HashMap, HashSet};
use std::time::Duration;

use kernel::{EndpointId, ServiceName};
use serde::{Deserialize, Serialize};
use slotmap::SlotMap;

use crate::Peers;
use crate::brittle::BrittleServices;
use crate::endpoint::{Entry, Key, ProcessId, State};
use crate::evacuation::Evacuations;
use crate::warm_up::WarmUp;

pub use endpoint::Endpoint;
pub(crate) use endpoint::{LOAD_REPORT_TTL, Listed};
use event_intervals::EventIntervals;
pub(crate) use event_intervals::Stream;
use rate_limits::RateLimits;

/// Ejections for failed or missing responses stay below this fraction of a service's endpoints. If
/// more of them fail, the cause is elsewhere, and the remaining ones would only be overloaded.
/// Ejections of unreachable endpoints aren't limited.
const MAX_EJECTED_FRACTION: f64 = 0.5;

/// The known endpoints, with their state, load and health.
#[derive(Clone, Debug, Default)]
pub struct Directory {
    endpoints: SlotMap<Key, Endpoint>,
    by_id: HashMap<EndpointId, Key>,
    by_service: HashMap<ServiceName, Vec<Key>>,
    /// Moving average of the utilization that endpoints report, by service.
    typical_utilization: HashMap<ServiceName, f64>,
    /// Endpoints that were gone when the store was restored from an older copy, each with the time
    /// until which the store may still list it.
    gone_until: HashMap<ProcessId, Duration>,
    evacuations: Evacuations,
    warm_ups: HashMap<ServiceName, WarmUp>,
    rate_limits: RateLimits,
    brittle: BrittleServices,
    /// Services of which an endpoint has reported the pace of its machine.
    uneven: HashSet<ServiceName>,
    event_intervals: EventIntervals,
    /// The hosts that share request rates of endpoints, once this host knows them.
    peers: Option<Peers>,
    /// The last time at which endpoints that are gone were removed.
    last_removal: Duration,
}

/// The meaning of the absence of known endpoints from a listing.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Absence {
    /// The absent endpoints are gone.
    Gone,
    /// Their entries may have expired during an outage of the store. They stay in use until a
    /// `Gone` listing arrives.
    Lapsed,
}

/// Effect of a listing on the directory.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Change {
    /// Endpoints that are new, restarted, or changed their service.
    pub added: Vec<EndpointId>,
    /// Endpoints that take no new requests from now on.
    pub leaving: Vec<EndpointId>,
}

impl Directory {
    /// Prepares for listings from a store that was restored from an older copy.
    ///
    /// The copy lists endpoints that have gone since, until their entries expire, and shows
    /// leaving endpoints as ready. Requests sent to these would be lost. So endpoints that were
    /// gone are ignored until then, and leaving ones stay marked as leaving.
    ///
    /// `heartbeat` is the interval at which endpoints renew their entries.
    pub fn store_restored(&mut self, now: Duration, heartbeat: Duration) {
        /// The heartbeats for which endpoints that are gone are ignored. More than the three after
        /// which an entry is removed, so that the store no longer lists them after it.
        const IGNORED_HEARTBEATS: u32 = 4;
        const MARGIN: Duration = Duration::from_millis(200);
        let until = now + heartbeat * IGNORED_HEARTBEATS + MARGIN;
        let gone = self
            .endpoints
            .values()
            .filter(|it| it.listed != Listed::Yes);
        let gone = gone.map(|it| (it.entry.process(), until));
        self.gone_until = gone.collect();
        for it in self.endpoints.values_mut() {
            it.is_leaving |= it.entry.state == State::Draining;
        }
    }

    /// Removes the entries of endpoints that this host knows to be gone, and marks those that it
    /// knows to be leaving as draining: the store may show an older copy. Call this before the
    /// listing is sent to other hosts.
    pub fn correct(&self, now: Duration, entries: &mut Vec<Entry>) {
        let is_gone = |it: &Entry| {
            let until = self.gone_until.get(&it.process());
            until.is_some_and(|it| now < *it)
        };
        entries.retain(|it| !is_gone(it));
        for it in entries {
            let known = self
                .by_id
                .get(&it.id)
                .and_then(|it| self.endpoints.get(*it));
            let is_same = |known: &&Endpoint| known.entry.process() == it.process();
            if known.filter(is_same).is_some_and(|it| it.is_leaving) {
                it.state = State::Draining;
            }
        }
    }

    /// Returns the entries of endpoints that announced that they are leaving while the listing
    /// shows them as ready.
    #[must_use]
    pub fn leaving_entries(&self) -> Vec<Entry> {
        let is_outdated =
            |it: &&Endpoint| it.is_leaving && it.is_listed() && it.entry.state == State::Ready;
        let outdated = self.endpoints.values().filter(is_outdated);
        outdated.map(|it| it.entry.clone()).collect()
    }

    /// Applies a complete listing that was read at `read_at`, and returns what changed.
    pub fn apply_listing(
        &mut self,
        read_at: Duration,
        entries: Vec<Entry>,
        absence: Absence,
    ) -> Change {
        let mut change = Change::default();
        let mut seen = HashSet::with_capacity(entries.len());
        for entry in entries {
            seen.insert(self.apply_entry(read_at, entry, &mut change));
        }
        for &key in &seen {
            self.refresh_cold_start(read_at, key);
        }
        if absence == Absence::Gone {
            let is_unseen = |it: &Key| !seen.contains(it);
            for key in self.endpoints.keys().filter(is_unseen).collect::<Vec<_>>() {
                self.mark_missing(read_at, key, &mut change);
            }
            self.remove_gone(read_at);
        }
        change
    }

    /// Applies the changes of a listing that was read at `read_at`, and returns what changed here.
    /// Takes time for these entries only, not for all that are known.
    pub fn apply_changes(
        &mut self,
        read_at: Duration,
        changed: &[Entry],
        gone: &[EndpointId],
        absence: Absence,
    ) -> Change {
        let mut change = Change::default();
        for entry in changed {
            let key = self.apply_entry(read_at, entry.clone(), &mut change);
            self.refresh_cold_start(read_at, key);
        }
        if absence == Absence::Gone {
            let keys = gone.iter().filter_map(|it| self.by_id.get(it).copied());
            for key in keys.collect::<Vec<_>>() {
                self.mark_missing(read_at, key, &mut change);
            }
            self.remove_gone(read_at);
        }
        change
    }

    fn apply_entry(&mut self, read_at: Duration, entry: Entry, change: &mut Change) -> Key {
        let Some(&key) = self.by_id.get(&entry.id) else {
            change.added.push(entry.id.clone());
            return self.insert(entry);
        };
        let known = &mut self.endpoints[key];
        let is_other_service = known.entry.service != entry.service;
        match entry.incarnation.cmp(&known.entry.incarnation) {
            // An outdated entry of an earlier process: the known process stays and
            // counts as listed.
            Ordering::Less => known.listed = Listed::Yes,
            Ordering::Equal if !is_other_service => {
                if known.takes_work() && entry.state == State::Draining {
                    change.leaving.push(entry.id.clone());
                }
                known.listed = Listed::Yes;
                let is_other_data_centre = known.entry.data_centre != entry.data_centre;
                known.entry = entry;
                if is_other_data_centre {
                    let data_centre = known.entry.data_centre.clone();
                    self.endpoints[key].access = self.access(&data_centre);
                }
            }
            Ordering::Equal | Ordering::Greater => {
                change.added.push(entry.id.clone());
                return self.add_restarted(read_at, key, entry);
            }
        }
        key
    }

    /// Gives an endpoint that restarted or changed its service a new key.
    ///
    /// Load, health, requests and connections of the previous process stay with the old key.
    /// Carried over, an ejection would leave a healthy endpoint unused, and requests that were
    /// lost with their process would count as in flight forever.
    fn add_restarted(&mut self, read_at: Duration, old_key: Key, entry: Entry) -> Key {
        if let Some(it) = self.endpoints.get_mut(old_key) {
            it.listed = Listed::Missing(read_at);
        }
        self.insert(entry)
    }

    fn insert(&mut self, entry: Entry) -> Key {
        let (id, service) = (entry.id.clone(), entry.service.clone());
        let access = self.access(&entry.data_centre);
        let key = self.endpoints.insert(Endpoint::new(entry, access));
        self.by_id.insert(id, key);
        self.by_service.entry(service).or_default().push(key);
        self.apply_kept_report(key);
        key
    }

    fn mark_missing(&mut self, read_at: Duration, key: Key, change: &mut Change) {
        let Some(it) = self.endpoints.get_mut(key) else {
            return;
        };
        if it.listed == Listed::Yes {
            if it.takes_work() {
                change.leaving.push(it.entry.id.clone());
            }
            it.listed = Listed::Missing(read_at);
        }
    }

    /// Removes endpoints that have been missing for `RETENTION` and have no request of this host
    /// in flight. Looks through all endpoints, so it does nothing within `INTERVAL` of the last
    /// time.
    fn remove_gone(&mut self, read_at: Duration) {
        /// The time for which a missing endpoint stays known, for messages about it that arrive
        /// late.
        const RETENTION: Duration = Duration::from_secs(30);
        const INTERVAL: Duration = Duration::from_secs(10);
        if read_at < self.last_removal + INTERVAL {
            return;
        }
        self.last_removal = read_at;
        let (by_id, by_service) = (&mut self.by_id, &mut self.by_service);
        self.endpoints.retain(|key, it| {
            let Listed::Missing(since) = it.listed else {
                return true;
            };
            if it.in_flight > 0 || read_at.saturating_sub(since) < RETENTION {
                return true;
            }
            if by_id.get(&it.entry.id) == Some(&key) {
                by_id.remove(&it.entry.id);
            }
            if let Some(keys) = by_service.get_mut(&it.entry.service) {
                keys.retain(|&it| it != key);
            }
            false
        });
    }

    /// Returns the number of endpoints that take requests, and how many of them are ejected.
    #[must_use]
    pub fn endpoint_counts(&self, now: Duration) -> (usize, usize) {
        let (mut takes, mut ejected) = (0, 0);
        for (_, it) in self.taking_work() {
            takes += 1;
            ejected += usize::from(it.health.is_ejected(now));
        }
        (takes, ejected)
    }

    /// Iterates over the endpoints that take requests.
    pub(crate) fn taking_work(&self) -> impl Iterator<Item = (Key, &Endpoint)> {
        self.endpoints.iter().filter(|(_, it)| it.takes_work())
    }

    /// Returns the endpoint with this key.
    #[must_use]
    pub fn get(&self, key: Key) -> Option<&Endpoint> {
        self.endpoints.get(key)
    }

    pub(crate) fn get_mut(&mut self, key: Key) -> Option<&mut Endpoint> {
        self.endpoints.get_mut(key)
    }

    /// Returns the endpoints of a service, including those that take no new requests.
    pub fn endpoints_of(&self, service: &ServiceName) -> impl Iterator<Item = (Key, &Endpoint)> {
        let keys = self.by_service.get(service).map_or(&[][..], Vec::as_slice);
        keys.iter()
            .filter_map(|&key| Some((key, self.endpoints.get(key)?)))
    }

    /// Records an endpoint's notice that it is leaving. Returns whether it took requests until
    /// now.
    pub(crate) fn mark_leaving(&mut self, key: Key) -> bool {
        let Some(it) = self.endpoints.get_mut(key) else {
            return false;
        };
        let took_work = it.takes_work();
        it.is_leaving = true;
        took_work
    }

    /// Records that an endpoint asked this host to send nothing for the given time.
    pub(crate) fn pause_endpoint(&mut self, now: Duration, key: Key, pause: Duration) {
        /// Upper bound, because the endpoint may ask for any time.
        const MAX_PAUSE: Duration = Duration::from_hours(1);
        if let Some(it) = self.endpoints.get_mut(key) {
            it.paused_until = it.paused_until.max(now + pause.min(MAX_PAUSE));
        }
    }

    /// Returns whether no endpoint is known.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.endpoints.is_empty()
    }

    /// Records a failed or missing response of an endpoint. Returns whether the endpoint is
    /// ejected because of it.
    pub(crate) fn record_failure(&mut self, now: Duration, key: Key) -> bool {
        let Some(it) = self.endpoints.get(key) else {
            return false;
        };
        let service = it.entry.service.clone();
        let (service_error_rate, ejected_fraction) = self.error_statistics(now, &service, key);
        let Some(it) = self.endpoints.get_mut(key) else {
            return false;
        };
        let is_ejected = it.health.record_failure(now, service_error_rate)
            && ejected_fraction < MAX_EJECTED_FRACTION;
        if is_ejected {
            it.health.eject(now);
        }
        is_ejected
    }

    /// Returns the mean error rate of a service's other endpoints that aren't ejected, and the
    /// fraction of its endpoints that would be ejected with this one. Considers only endpoints that
    /// take requests.
    fn error_statistics(&self, now: Duration, service: &ServiceName, excluded: Key) -> (f64, f64) {
        let (mut error_rate_sum, mut ejected, mut count) = (0.0, 0.0, 0.0);
        for (key, it) in self.endpoints_of(service) {
            if key == excluded || !it.takes_work() {
                continue;
            }
            count += 1.0;
            if it.health.is_ejected(now) {
                ejected += 1.0;
            } else {
                error_rate_sum += it.health.error_rate();
            }
        }
        // The fraction is 1 for the only endpoint that takes requests: it is never ejected for
        // failed or missing responses.
        let ejected_fraction = (ejected + 1.0) / (count + 1.0);
        let in_use = count - ejected;
        let mean_error_rate = if in_use > 0.0 {
            error_rate_sum / in_use
        } else {
            0.0
        };
        (mean_error_rate, ejected_fraction)
    }
}
