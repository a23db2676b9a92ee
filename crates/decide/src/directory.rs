//! The endpoints that this host knows, and endpoint selection.

use std::collections::{BTreeSet, HashMap};
use std::time::Duration;

use kernel::VersionId;
use rand::RngExt;
use rand_pcg::Pcg64Mcg;
use slotmap::SlotMap;

use crate::endpoint::{Distance, Id, Role, State, Update};
use crate::policy::Priority;
use crate::replica::{Key, Replica};
use crate::{Policy, key};

/// The maximum number of endpoints of a version or service that one host selects
/// from; see `docs/design/decide-endpoints.md`. A prompt prefix may still lead to
/// an endpoint that is no longer among them.
const SUBSET_SIZE: usize = 24;
/// The number of entries in the table from prompt prefix to endpoint.
const PREFIX_ENTRIES: usize = 4096;
/// The utilization from which on prefix affinity is ignored.
const MAX_AFFINITY_UTILIZATION: f64 = 0.75;

/// The version or service that an endpoint is needed for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(crate) enum Target {
    Version(key::Version),
    Service(key::Service),
}

/// The criteria for selecting an endpoint.
#[derive(Clone, Copy, Debug)]
pub(crate) struct SelectionCriteria {
    pub(crate) target: Target,
    pub(crate) priority: Priority,
    /// The hash of the prompt prefix, or 0.
    pub(crate) prefix: u64,
    /// An endpoint that is excluded, if any.
    pub(crate) avoid: Option<Key>,
}

/// The endpoints that this host knows, indexed by version and service.
#[derive(Debug)]
pub(crate) struct Directory {
    host: u64,
    /// The number of live hosts that share the endpoints.
    pub(crate) live_hosts: u32,
    replicas: SlotMap<Key, Replica>,
    by_name: HashMap<EndpointName, Key>,
    by_version: Vec<Vec<Candidate>>,
    by_service: Vec<Vec<Candidate>>,
    prefixes: Vec<PrefixEntry>,
}

/// Identifies an endpoint across its incarnations.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct EndpointName {
    host: u64,
    /// The hash of the service's name, or 0 for an engine.
    service: u64,
}

/// An entry of an index, ordered by distance and then by a rank that differs
/// between hosts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Candidate {
    distance: Distance,
    rank: u64,
    key: Key,
}

#[derive(Clone, Copy, Debug, Default)]
struct PrefixEntry {
    hash: u64,
    key: Key,
}

impl Directory {
    pub(crate) fn new(host: &kernel::HostName) -> Self {
        Self {
            host: key::hash(host.as_str().as_bytes()),
            live_hosts: 1,
            replicas: SlotMap::with_key(),
            by_name: HashMap::new(),
            by_version: Vec::new(),
            by_service: Vec::new(),
            prefixes: vec![PrefixEntry::default(); PREFIX_ENTRIES],
        }
    }

    pub(crate) fn get(&self, key: Key) -> Option<&Replica> {
        self.replicas.get(key)
    }

    pub(crate) fn get_mut(&mut self, key: Key) -> Option<&mut Replica> {
        self.replicas.get_mut(key)
    }

    /// Applies an update and returns the endpoint's key, unless it is gone. An update
    /// with another incarnation removes the known endpoint, even if the update is
    /// older or says [`State::Gone`].
    pub(crate) fn update(
        &mut self,
        now: Duration,
        policy: &Policy,
        update: &Update,
    ) -> Option<Key> {
        let name = EndpointName::of(update);
        let known = self.by_name.get(&name).copied();
        let same = known.filter(|it| self.replicas[*it].id == update.id);
        if let (Some(old), None) = (known, same) {
            self.remove(name, old);
        }
        if update.state == State::Gone {
            if let Some(key) = same {
                self.remove(name, key);
            }
            return None;
        }
        let Some(key) = same else {
            let key = self
                .replicas
                .insert(Replica::new(now, self.live_hosts, update));
            self.by_name.insert(name, key);
            self.add_to_indexes(key, policy);
            return Some(key);
        };
        let it = &mut self.replicas[key];
        it.record_load(now, self.live_hosts, update.load);
        let is_moved = it.distance != update.distance || it.state != update.state;
        if is_moved || !same_role(&it.role, &update.role) {
            self.remove_from_indexes(key);
            let it = &mut self.replicas[key];
            it.role = update.role.clone();
            it.distance = update.distance;
            it.state = update.state;
            self.add_to_indexes(key, policy);
        }
        Some(key)
    }

    /// Rebuilds the indexes for the keys of `policy`.
    pub(crate) fn configure(&mut self, policy: &Policy) {
        self.by_version = vec![Vec::new(); policy.versions.len()];
        self.by_service = vec![Vec::new(); policy.services.len()];
        let keys: Vec<Key> = self.replicas.keys().collect();
        for key in keys {
            self.add_to_indexes(key, policy);
        }
    }

    /// Stops new requests to an endpoint that is leaving or whose process was replaced.
    pub(crate) fn leave(&mut self, key: Key) {
        self.remove_from_indexes(key);
        if let Some(it) = self.replicas.get_mut(key) {
            it.state = State::Leaving;
        }
    }

    /// Removes a version from an endpoint that reported that it hasn't loaded it. A
    /// later update can add it again.
    pub(crate) fn unload(&mut self, key: Key, version: key::Version, id: &VersionId) {
        if let Some(list) = self.by_version.get_mut(version.index()) {
            list.retain(|it| it.key != key);
        }
        if let Some(it) = self.replicas.get_mut(key) {
            it.versions.retain(|it| *it != version);
            if let Role::Engine(loaded) = &it.role {
                let rest = loaded.iter().filter(|it| *it != id);
                it.role = Role::Engine(rest.cloned().collect());
            }
        }
    }

    pub(crate) fn is_empty(&self, target: Target) -> bool {
        self.candidates(target).is_empty()
    }

    /// Returns the number of live endpoints of `target` that this host knows.
    pub(crate) fn len(&self, target: Target) -> usize {
        self.candidates(target).len()
    }

    /// Returns whether this incarnation of the endpoint is live.
    pub(crate) fn is_live(&self, id: Id) -> bool {
        let mut known = self.replicas.values();
        known.any(|it| it.id == id && it.state == State::Live)
    }

    /// Returns a hash of the set of versions and services that have an endpoint.
    pub(crate) fn availability_hash(&self) -> u64 {
        let lists = self.by_version.iter().chain(&self.by_service);
        let filled = (1..).zip(lists).filter(|(_, list)| !list.is_empty());
        filled.fold(0, |hash, (at, _)| hash ^ key::mix(at, 1))
    }

    /// Returns the endpoints in this host's subsets, whose load it has to know.
    pub(crate) fn watched(&self) -> Vec<Id> {
        let lists = self.by_version.iter().chain(&self.by_service);
        let near = lists.flat_map(|it| it.iter().take(SUBSET_SIZE));
        let ids: BTreeSet<Id> = near.map(|it| self.replicas[it.key].id).collect();
        ids.into_iter().collect()
    }

    /// Returns the number of this host's attempts in flight, for any version, at its
    /// subset of the endpoints of `target`.
    pub(crate) fn in_flight(&self, target: Target) -> u32 {
        let near = self.candidates(target).iter().take(SUBSET_SIZE);
        near.map(|it| self.replicas[it.key].in_flight()).sum()
    }

    /// Returns this host's equal share of the slots at its subset of the endpoints of
    /// `target`.
    pub(crate) fn slot_share(&self, target: Target) -> f64 {
        let near = self.candidates(target).iter().take(SUBSET_SIZE);
        let slots: u32 = near.map(|it| self.replicas[it.key].slots()).sum();
        f64::from(slots) / f64::from(self.live_hosts)
    }

    /// Selects an endpoint with free capacity.
    ///
    /// Prefers the endpoint that has the prefix cached if its utilization is below
    /// [`MAX_AFFINITY_UTILIZATION`]. Otherwise takes, at the nearest distance that has
    /// capacity, the less utilized of two random endpoints, or the least utilized of
    /// all if neither has capacity. Ejected endpoints are used only if no other has
    /// capacity.
    pub(crate) fn choose(
        &self,
        now: Duration,
        criteria: &SelectionCriteria,
        rng: &mut Pcg64Mcg,
    ) -> Option<Key> {
        let list = self.candidates(criteria.target);
        let list = &list[..list.len().min(SUBSET_SIZE)];
        if let Some(key) = self.cached_endpoint(now, criteria) {
            return Some(key);
        }
        let healthy = list
            .chunk_by(|a, b| a.distance == b.distance)
            .find_map(|near| self.choose_at_distance(now, criteria, near, rng));
        healthy.or_else(|| {
            let ejected = list.iter().map(|it| it.key);
            self.least_utilized(
                now,
                criteria,
                ejected.filter(|it| self.replicas[*it].is_ejected(now)),
            )
        })
    }

    /// Records that the endpoint has the prefix cached.
    pub(crate) fn record_prefix(&mut self, prefix: u64, key: Key) {
        if prefix != 0 {
            self.prefixes[prefix_index(prefix)] = PrefixEntry { hash: prefix, key };
        }
    }

    fn cached_endpoint(&self, now: Duration, criteria: &SelectionCriteria) -> Option<Key> {
        if criteria.prefix == 0 {
            return None;
        }
        let entry = self.prefixes[prefix_index(criteria.prefix)];
        let it = self.replicas.get(entry.key)?;
        let usable = entry.hash == criteria.prefix
            && it.state == State::Live
            && !it.is_ejected(now)
            && criteria.avoid != Some(entry.key)
            && it.utilization(now) < MAX_AFFINITY_UTILIZATION
            && it.has_room(now, criteria.priority);
        let serves = match criteria.target {
            Target::Version(version) => it.serves(version),
            Target::Service(service) => it.service == Some(service),
        };
        (usable && serves).then_some(entry.key)
    }

    fn choose_at_distance(
        &self,
        now: Duration,
        criteria: &SelectionCriteria,
        near: &[Candidate],
        rng: &mut Pcg64Mcg,
    ) -> Option<Key> {
        let first = rng.random_range(0..near.len());
        let second = rng.random_range(0..near.len());
        let healthy = |it: &Key| !self.replicas[*it].is_ejected(now);
        let two = [near[first].key, near[second].key];
        let all = near.iter().map(|it| it.key);
        self.least_utilized(now, criteria, two.into_iter().filter(healthy))
            .or_else(|| self.least_utilized(now, criteria, all.filter(healthy)))
    }

    fn least_utilized(
        &self,
        now: Duration,
        criteria: &SelectionCriteria,
        keys: impl Iterator<Item = Key>,
    ) -> Option<Key> {
        let usable = keys.filter(|it| {
            criteria.avoid != Some(*it) && self.replicas[*it].has_room(now, criteria.priority)
        });
        let utilization = |key: &Key| self.replicas[*key].utilization(now);
        usable.min_by(|a, b| utilization(a).total_cmp(&utilization(b)))
    }

    fn candidates(&self, target: Target) -> &[Candidate] {
        let list = match target {
            Target::Version(version) => self.by_version.get(version.index()),
            Target::Service(service) => self.by_service.get(service.index()),
        };
        list.map_or(&[], Vec::as_slice)
    }

    fn remove(&mut self, name: EndpointName, key: Key) {
        self.remove_from_indexes(key);
        self.replicas.remove(key);
        self.by_name.remove(&name);
    }

    fn add_to_indexes(&mut self, key: Key, policy: &Policy) {
        let it = &mut self.replicas[key];
        it.versions.clear();
        it.service = None;
        match &it.role {
            Role::Engine(ids) => it
                .versions
                .extend(ids.iter().filter_map(|id| policy.version(id))),
            Role::Service(name) => it.service = policy.service(name),
        }
        if it.state != State::Live {
            return;
        }
        let candidate = Candidate {
            distance: it.distance,
            rank: key::mix(self.host, key::mix(it.id.host, it.id.incarnation.0)),
            key,
        };
        for version in &it.versions {
            insert(&mut self.by_version[version.index()], candidate);
        }
        if let Some(service) = it.service {
            insert(&mut self.by_service[service.index()], candidate);
        }
    }

    fn remove_from_indexes(&mut self, key: Key) {
        let Some(it) = self.replicas.get(key) else {
            return;
        };
        for version in &it.versions {
            self.by_version[version.index()].retain(|it| it.key != key);
        }
        if let Some(service) = it.service {
            self.by_service[service.index()].retain(|it| it.key != key);
        }
    }
}

impl EndpointName {
    fn of(update: &Update) -> Self {
        let service = match &update.role {
            Role::Engine(_) => 0,
            Role::Service(name) => key::hash(name.as_str().as_bytes()),
        };
        Self {
            host: update.id.host,
            service,
        }
    }
}

fn same_role(a: &Role, b: &Role) -> bool {
    match (a, b) {
        (Role::Engine(a), Role::Engine(b)) => a == b,
        (Role::Service(a), Role::Service(b)) => a == b,
        _ => false,
    }
}

fn insert(list: &mut Vec<Candidate>, candidate: Candidate) {
    let at = list.partition_point(|it| *it < candidate);
    if list.get(at) != Some(&candidate) {
        list.insert(at, candidate);
    }
}

fn prefix_index(prefix: u64) -> usize {
    let size = u64::try_from(PREFIX_ENTRIES).unwrap_or(1);
    usize::try_from(key::mix(prefix, 0) % size).unwrap_or(0)
}
