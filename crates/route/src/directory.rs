//! The endpoints, what they are doing and how well.

mod endpoint;
mod evacuate;
mod warmth;

use std::cmp::Ordering;
use std::collections::{HashMap, HashSet};
use std::time::Duration;

use kernel::{EndpointId, ServiceName};
use serde::{Deserialize, Serialize};
use slotmap::SlotMap;

use crate::endpoint::{Entry, Key, Load, Process, State};
use crate::evacuation::Evacuations;
use crate::warm_up::{Peers, WarmUp};

pub use endpoint::Endpoint;
pub(crate) use endpoint::Listed;

/// The largest part of a service's endpoints that rest at once. If most of them
/// answer badly the cause is elsewhere, and the rest would only be overrun.
const MOST_RESTING: f64 = 0.5;

/// The endpoints, what they are doing and how well.
#[derive(Clone, Debug, Default)]
pub struct Directory {
    endpoints: SlotMap<Key, Endpoint>,
    by_id: HashMap<EndpointId, Key>,
    by_service: HashMap<ServiceName, Vec<Key>>,
    /// The part of their places that endpoints of a service usually have taken, by
    /// their own word.
    usual: HashMap<ServiceName, f64>,
    /// Endpoints that were gone when the store came back from an older copy, and until
    /// when it may still list them.
    gone: HashMap<Process, Duration>,
    evacuations: Evacuations,
    warm_ups: HashMap<ServiceName, WarmUp>,
    /// The hosts that share what cold endpoints take, once this host knows them.
    peers: Option<Peers>,
}

/// Whether an absent entry means that its endpoint is gone.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Absence {
    /// It does.
    Gone,
    /// It may be one that lapsed while the store was away: its endpoint is kept
    /// in use until a listing that is `Gone` comes.
    Lapsed,
}

/// How a listing changed what is believed.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Change {
    /// Endpoints that are new.
    pub added: Vec<EndpointId>,
    /// Endpoints that take no new work from now on.
    pub leaving: Vec<EndpointId>,
}

impl Directory {
    /// Takes it that the store came back from an older copy.
    ///
    /// Failure: the copy lists endpoints that are gone since, until their entries lapse
    /// there, and has those as ready that leave. What is sent there is lost. So what was
    /// gone stays gone for that time, and who was leaving leaves.
    pub fn restored(&mut self, now: Duration) {
        /// Entries lapse after three heartbeats of silence; those are 1.2 s apart.
        const LAPSE: Duration = Duration::from_secs(5);
        let gone = self
            .endpoints
            .values()
            .filter(|it| it.listed != Listed::Yes);
        let gone = gone.map(|it| (it.entry.process(), now + LAPSE));
        self.gone = gone.collect();
        for it in self.endpoints.values_mut() {
            it.has_left |= it.entry.state == State::Draining;
        }
    }

    /// Puts right what the store says of endpoints of which this host knows better: it may
    /// show an older copy. The others hear of the listing as it is then.
    pub fn correct(&self, now: Duration, entries: &mut Vec<Entry>) {
        let is_gone = |it: &Entry| {
            let until = self.gone.get(&it.process());
            until.is_some_and(|it| now < *it)
        };
        entries.retain(|it| !is_gone(it));
        for it in entries {
            let known = self
                .by_id
                .get(&it.id)
                .and_then(|it| self.endpoints.get(*it));
            let is_same = |known: &&Endpoint| known.entry.process() == it.process();
            if known.filter(is_same).is_some_and(|it| it.has_left) {
                it.state = State::Draining;
            }
        }
    }

    /// Takes a whole listing.
    pub fn list(&mut self, now: Duration, entries: Vec<Entry>, absence: Absence) -> Change {
        let mut change = Change::default();
        let mut seen = HashSet::with_capacity(entries.len());
        for entry in entries {
            seen.insert(self.take(now, entry, &mut change));
        }
        if absence == Absence::Gone {
            self.miss(now, &seen, &mut change);
        }
        self.renew_warmth(now);
        change
    }

    fn take(&mut self, now: Duration, entry: Entry, change: &mut Change) -> Key {
        let Some(&key) = self.by_id.get(&entry.id) else {
            change.added.push(entry.id.clone());
            return self.insert(entry);
        };
        let known = &mut self.endpoints[key];
        let is_moved = known.entry.service != entry.service;
        match entry.incarnation.cmp(&known.entry.incarnation) {
            // A former life's late word says only that the identity is in use.
            Ordering::Less => known.listed = Listed::Yes,
            Ordering::Equal if !is_moved => {
                if known.takes_work() && entry.state == State::Draining {
                    change.leaving.push(entry.id.clone());
                }
                known.listed = Listed::Yes;
                let is_elsewhere = known.entry.data_centre != entry.data_centre;
                known.entry = entry;
                if is_elsewhere {
                    let data_centre = known.entry.data_centre.clone();
                    self.endpoints[key].access = self.access(&data_centre);
                }
            }
            Ordering::Equal | Ordering::Greater => {
                change.added.push(entry.id.clone());
                return self.replace(now, key, entry);
            }
        }
        key
    }

    /// Gives an endpoint that has started again a key of its own.
    ///
    /// All that was believed of the life before stays with the old key: load,
    /// health, requests and connections. Kept for the new one, a rest would leave
    /// a sound endpoint unused, and requests that ended with their process would
    /// count as under way for good.
    fn replace(&mut self, now: Duration, former: Key, entry: Entry) -> Key {
        if let Some(it) = self.endpoints.get_mut(former) {
            it.listed = Listed::Missing(now);
        }
        self.insert(entry)
    }

    fn insert(&mut self, entry: Entry) -> Key {
        let (id, service) = (entry.id.clone(), entry.service.clone());
        let access = self.access(&entry.data_centre);
        let key = self.endpoints.insert(Endpoint::new(entry, access));
        self.by_id.insert(id, key);
        self.by_service.entry(service).or_default().push(key);
        key
    }

    fn miss(&mut self, now: Duration, seen: &HashSet<Key>, change: &mut Change) {
        for (key, it) in &mut self.endpoints {
            if !seen.contains(&key) && it.listed == Listed::Yes {
                if it.takes_work() {
                    change.leaving.push(it.entry.id.clone());
                }
                it.listed = Listed::Missing(now);
            }
        }
        self.forget(now);
    }

    /// Drops endpoints that are gone and have nothing of this host's under way.
    fn forget(&mut self, now: Duration) {
        /// Long enough for late news of the endpoint to find it still known.
        const KEPT: Duration = Duration::from_secs(30);
        let (by_id, by_service) = (&mut self.by_id, &mut self.by_service);
        self.endpoints.retain(|key, it| {
            let Listed::Missing(since) = it.listed else {
                return true;
            };
            if it.flights > 0 || now.saturating_sub(since) < KEPT {
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

    /// How many endpoints take work, and how many of these rest.
    #[must_use]
    pub fn count(&self, now: Duration) -> (usize, usize) {
        let takes: Vec<_> = self
            .endpoints
            .values()
            .filter(|it| it.takes_work())
            .collect();
        let resting = takes.iter().filter(|it| it.health.is_resting(now));
        (takes.len(), resting.count())
    }

    /// An endpoint by its key.
    #[must_use]
    pub fn get(&self, key: Key) -> Option<&Endpoint> {
        self.endpoints.get(key)
    }

    pub(crate) fn get_mut(&mut self, key: Key) -> Option<&mut Endpoint> {
        self.endpoints.get_mut(key)
    }

    /// The endpoints of a service, also those that take no new work.
    pub fn of(&self, service: &ServiceName) -> impl Iterator<Item = (Key, &Endpoint)> {
        let keys = self.by_service.get(service).map_or(&[][..], Vec::as_slice);
        keys.iter()
            .filter_map(|&key| Some((key, self.endpoints.get(key)?)))
    }

    /// The part of a service's places that is believed to be taken.
    #[must_use]
    pub fn used(&self, now: Duration, service: &ServiceName) -> f64 {
        let (mut used, mut count) = (0.0, 0.0);
        for (_, it) in self.of(service).filter(|(_, it)| it.takes_work()) {
            used += self.used_of(now, it);
            count += 1.0;
        }
        if count > 0.0 { used / count } else { 1.0 }
    }

    /// The part of an endpoint's places that is believed to be taken.
    ///
    /// One that hasn't told lately is as busy as the others usually are. Taken for
    /// empty, it would be chosen before those that tell, and among many hosts
    /// hardly any endpoint has told this one lately.
    #[must_use]
    pub fn used_of(&self, now: Duration, it: &Endpoint) -> f64 {
        let usual = self.usual.get(&it.entry.service).copied();
        it.used(now, usual.unwrap_or_default())
    }

    /// Takes an endpoint's word on its load.
    pub(crate) fn load(&mut self, now: Duration, key: Key, load: Load) {
        /// How much one word moves what is usual.
        const PART: f64 = 0.05;
        if let Some(it) = self.endpoints.get_mut(key) {
            it.load = Some((now, load));
            it.sent_since_load = 0;
            let usual = self.usual.entry(it.entry.service.clone()).or_default();
            *usual += PART * (load.used() - *usual);
        }
    }

    /// Takes an endpoint's word that it leaves, and says whether it took work until now.
    pub(crate) fn leave(&mut self, key: Key) -> bool {
        let Some(it) = self.endpoints.get_mut(key) else {
            return false;
        };
        let took_work = it.takes_work();
        it.has_left = true;
        took_work
    }

    /// Takes an endpoint's word that it wants nothing for so long.
    pub(crate) fn refuse(&mut self, now: Duration, key: Key, pause: Duration) {
        /// An endpoint may name any time at all.
        const LONGEST: Duration = Duration::from_hours(1);
        if let Some(it) = self.endpoints.get_mut(key) {
            it.unwilling_until = it.unwilling_until.max(now + pause.min(LONGEST));
        }
    }

    /// Whether any endpoint is known.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.endpoints.is_empty()
    }

    /// Takes an endpoint's bad answer, and says whether it rests from now on.
    pub(crate) fn bad(&mut self, now: Duration, key: Key) -> bool {
        let Some(it) = self.endpoints.get(key) else {
            return false;
        };
        let service = it.entry.service.clone();
        let (usual, resting) = self.usual(now, &service, key);
        let Some(it) = self.endpoints.get_mut(key) else {
            return false;
        };
        let rests = it.health.bad(now, usual) && resting < MOST_RESTING;
        if rests {
            it.health.rest(now);
        }
        rests
    }

    /// The mean share of bad answers of a service's other endpoints, and the
    /// part of its endpoints that rest.
    fn usual(&self, now: Duration, service: &ServiceName, but: Key) -> (f64, f64) {
        let (mut share, mut resting, mut count) = (0.0, 0.0, 0.0);
        for (key, it) in self.of(service) {
            if key == but || !it.takes_work() {
                continue;
            }
            count += 1.0;
            if it.health.is_resting(now) {
                resting += 1.0;
            } else {
                share += it.health.bad_share();
            }
        }
        if count == 0.0 {
            // The only endpoint of a service is never put to rest.
            return (0.0, 1.0);
        }
        (share / count, (resting + 1.0) / (count + 1.0))
    }
}
