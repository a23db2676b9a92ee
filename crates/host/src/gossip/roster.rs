//! The table of known hosts.

mod known_host;

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use kernel::{HostName, Incarnation, hash};
use route::{HostCount, Peers};

use super::{Graph, Record, State};
use crate::Member;
use crate::addresses::Address;
use known_host::KnownHost;

/// Minimum time for which a silent or gone host is kept, so that outdated records don't revive it.
/// After that, the host is found again through the store's listing.
const SILENT_RETENTION: Duration = Duration::from_mins(10);
/// Time after which the entry of a silent or gone host is withdrawn from the store; longer than
/// most restarts and network partitions.
const WITHDRAW_AFTER: Duration = Duration::from_mins(1);
/// Number of live hosts from which on no further ones are added to the store's listing. A host that
/// starts needs only some of them, which send it the rest, and every start reads the whole listing:
/// with an entry of each host, a start of the whole fleet would read a number of entries that grows
/// with the square of its size.
pub const MAX_LISTED: usize = 64;
/// Time for which callers are sent to a host that is only listed in the store. A live host is
/// heard within this time, and a dead one is detected.
const LISTED_TIMEOUT: Duration = Duration::from_secs(6);
/// Time for which callers are still sent to a host after it was marked silent, per hop that an
/// update takes to reach all hosts. A live host refutes the claim in this time.
///
/// Each side of a network partition marks most of the other silent. Without this delay, callers
/// would see only a fraction of the hosts after a reconnection, until the refutations arrive.
const SILENT_GRACE_PER_HOP: Duration = Duration::from_millis(150);
/// Number of known hosts from which on records of unknown hosts are not merged, unless a record of
/// a host that isn't live can be dropped for one. Bounds the memory that records with invented
/// names can take.
const MAX_HOSTS: usize = 4_096;

/// The hosts that this host knows, with their latest records.
#[derive(Debug)]
pub struct Roster {
    own: HostName,
    hosts: BTreeMap<HostName, KnownHost>,
    /// Incremented when a host appears, becomes live or no longer live, or its `Member` changes.
    epoch: u64,
    /// See [`Self::ready_epoch`].
    ready_epoch: u64,
    fingerprint: u64,
}

impl Roster {
    pub(super) fn new(own: Member, incarnation: Incarnation, now: Duration) -> Self {
        let mut roster = Self {
            own: own.name.clone(),
            hosts: BTreeMap::new(),
            epoch: 0,
            ready_epoch: 0,
            fingerprint: 0,
        };
        let state = State::Starting;
        let sequence = 0;
        roster.insert(
            now,
            Record {
                member: own,
                incarnation,
                sequence,
                state,
            },
        );
        roster
    }

    /// Returns this host's own record.
    #[must_use]
    pub fn own(&self) -> &Record {
        &self.hosts[&self.own].record
    }

    /// Returns the record of a host.
    #[must_use]
    pub fn get(&self, host: &HostName) -> Option<&Record> {
        self.hosts.get(host).map(|it| &it.record)
    }

    /// Iterates over the live hosts in order of their names, this host included.
    pub fn live(&self) -> impl Iterator<Item = &Record> {
        self.hosts
            .values()
            .map(|it| &it.record)
            .filter(|it| it.is_live())
    }

    /// Returns the number of live hosts, this host included.
    #[must_use]
    pub fn count(&self) -> usize {
        self.live().count()
    }

    /// Returns the number of live and silent hosts, this host included.
    #[must_use]
    pub fn host_count(&self) -> HostCount {
        let is_silent = |it: &&KnownHost| it.record.state == State::Silent;
        let silent = self.hosts.values().filter(is_silent).count();
        HostCount {
            live: u32::try_from(self.count()).unwrap_or(u32::MAX),
            silent: u32::try_from(silent).unwrap_or(u32::MAX),
        }
    }

    /// Returns the addresses of the hosts that callers may be sent to.
    #[must_use]
    pub fn addresses(&self, now: Duration) -> Vec<Address> {
        let silent_grace = SILENT_GRACE_PER_HOP * Graph::estimated_hops(self.hosts.len());
        let serves = |it: &&KnownHost| match it.record.state {
            State::Ready | State::Isolated => true,
            State::Listed => now.saturating_sub(it.stored_at) < LISTED_TIMEOUT,
            State::Silent => {
                matches!(it.last_live_state, State::Ready | State::Isolated)
                    && now.saturating_sub(it.stored_at) < silent_grace
            }
            State::Starting | State::Leaving | State::Gone => false,
        };
        let known = self.hosts.values().filter(serves);
        known.map(|it| it.record.member.address()).collect()
    }

    /// Returns live hosts to add to these store entries, so that enough of the entries are of live
    /// hosts, and those whose entries are outdated. The first by rank are added first, so that a
    /// host without an entry knows that others come before it.
    #[must_use]
    pub fn missing(&self, listed: &[Member]) -> Vec<Member> {
        let by_name: HashMap<_, _> = listed.iter().map(|it| (&it.name, it)).collect();
        let is_reported = |it: &&KnownHost| it.record.is_live() && it.record.state != State::Listed;
        let mut live: Vec<_> = self.hosts.values().filter(is_reported).collect();
        live.sort_unstable_by_key(|it| it.order());
        let (known, unknown): (Vec<_>, Vec<_>) = live
            .into_iter()
            .map(|it| &it.record.member)
            .partition(|it| by_name.contains_key(&it.name));
        let room = MAX_LISTED.saturating_sub(known.len());
        let moved = known.into_iter().filter(|it| by_name[&it.name] != *it);
        moved
            .chain(unknown.into_iter().take(room))
            .cloned()
            .collect()
    }

    /// Returns the entries whose hosts have been silent or gone for long.
    #[must_use]
    pub fn expired(&self, now: Duration, listed: &[Member]) -> Vec<Member> {
        let is_gone = |it: &&Member| {
            self.hosts.get(&it.name).is_some_and(|known| {
                !known.record.is_live() && now >= known.stored_at + WITHDRAW_AFTER
            })
        };
        listed.iter().filter(is_gone).cloned().collect()
    }

    /// Returns this host's position among the ready hosts or, if none is ready, among those
    /// that are listed or starting. All hosts with the same view agree on the order. Hosts of
    /// greater capacity come first: those of the first ranks read the store for all, and a small
    /// host takes longer for a large listing than it stays current. Equal ones are ordered by hash
    /// because hosts with similar names would otherwise have adjacent ranks.
    #[must_use]
    pub fn rank(&self) -> usize {
        let own = self.hosts[&self.own].order();
        let before = |state: fn(State) -> bool| {
            self.hosts
                .values()
                .filter(|it| it.order() < own && state(it.record.state))
                .count()
        };
        // A host that reaches no endpoint may still reach the store.
        let serves = |it| matches!(it, State::Ready | State::Isolated);
        if self.live().any(|it| serves(it.state)) {
            before(serves)
        } else {
            before(|it| matches!(it, State::Listed | State::Starting))
        }
    }

    /// Returns whether a host has just become live again after it was silent.
    pub(super) fn has_returned(&self, now: Duration, host: &HostName) -> bool {
        const JUST_NOW: Duration = Duration::from_secs(1);
        let returned_at = self.hosts.get(host).and_then(|it| it.returned_at);
        returned_at.is_some_and(|it| now < it + JUST_NOW)
    }

    /// Returns a fingerprint of the live hosts' records, except those only listed in the store.
    /// Equal views have equal fingerprints.
    #[must_use]
    pub fn fingerprint(&self) -> u64 {
        self.fingerprint
    }

    /// Incremented when a host becomes able or unable to serve others' requests, or its `Member`
    /// changes.
    pub(crate) fn ready_epoch(&self) -> u64 {
        self.ready_epoch
    }

    /// Returns all known hosts as the peers that share the capacity of cold endpoints.
    #[must_use]
    pub fn peers(&self) -> Peers {
        Peers::new(&self.own, self.hosts.keys())
    }

    pub(crate) fn epoch(&self) -> u64 {
        self.epoch
    }

    /// Iterates over name hash, record hash and record of each host, except those only listed in
    /// the store.
    pub(super) fn hashes(&self) -> impl Iterator<Item = (u32, u64, &Record)> {
        self.hosts
            .values()
            .map(|it| (it.name_hash, it.record_hash, &it.record))
            .filter(|it| it.2.state != State::Listed)
    }

    pub(super) fn records_by_name_hash(&self, name_hashes: &[u32]) -> Vec<Record> {
        self.hashes()
            .filter(|it| name_hashes.contains(&it.0))
            .map(|it| it.2.clone())
            .collect()
    }

    /// Adds a host's entry from the store. A known host is replaced only if the entry has other
    /// addresses and the host is listed or silent: what a host reports itself is more reliable.
    pub(super) fn add_listed(&mut self, now: Duration, member: Member) {
        let known = self.get(&member.name);
        let is_new = known.is_none_or(|it| {
            let has_moved = it.member.link != member.link || it.member.front != member.front;
            has_moved && matches!(it.state, State::Listed | State::Silent)
        });
        if is_new && member.name != self.own {
            let record = Record {
                member,
                incarnation: Incarnation(0),
                sequence: 0,
                state: State::Listed,
            };
            self.insert(now, record);
        }
    }

    /// Sets this host's own state. Returns whether it changed.
    pub(super) fn set_own_state(&mut self, now: Duration, state: State) -> bool {
        let mut record = self.own().clone();
        if record.state == state {
            return false;
        }
        record.state = state;
        record.sequence += 1;
        self.insert(now, record);
        true
    }

    /// Merges a record from another host. Returns the host's name if its record changed.
    pub(super) fn merge(&mut self, now: Duration, record: &Record) -> Option<HostName> {
        let name = &record.member.name;
        if *name == self.own {
            return self.refute(now, record);
        }
        match self.get(name) {
            // An unknown host that isn't live needs no record.
            None if !record.is_live() => return None,
            Some(known) if !record.supersedes(known) => return None,
            _ => {}
        }
        if record.state == State::Listed || !self.has_room_for(name) {
            return None;
        }
        self.insert(now, record.clone());
        Some(name.clone())
    }

    /// Returns whether a record of this host can be stored. At the bound, the record of the host
    /// that has been gone the longest makes room for a new host: otherwise hosts that were replaced
    /// would keep new ones out until their records expire.
    fn has_room_for(&mut self, name: &HostName) -> bool {
        if self.hosts.contains_key(name) || self.hosts.len() < MAX_HOSTS {
            return true;
        }
        let gone = self.hosts.values().filter(|it| !it.record.is_live());
        let oldest = gone.min_by_key(|it| it.stored_at);
        let Some(oldest) = oldest.map(|it| it.record.member.name.clone()) else {
            return false;
        };
        self.hosts.remove(&oldest);
        true
    }

    /// Refutes a record about this host that supersedes its own.
    ///
    /// If the clock was set back between two runs of the process, the former run's record has
    /// the higher incarnation and would supersede this one's for ever; this run takes a higher
    /// incarnation.
    fn refute(&mut self, now: Duration, claim: &Record) -> Option<HostName> {
        let own = self.own();
        if !claim.supersedes(own) {
            return None;
        }
        let mut record = own.clone();
        record.incarnation = record.incarnation.max(claim.incarnation);
        record.sequence = claim.sequence + 1;
        if claim.incarnation > own.incarnation {
            record.incarnation = Incarnation(claim.incarnation.0 + 1);
        }
        self.insert(now, record);
        Some(self.own.clone())
    }

    /// Marks a host silent. Returns its name if it was live.
    pub(super) fn mark_silent(&mut self, now: Duration, host: &HostName) -> Option<HostName> {
        let mut record = self.get(host)?.clone();
        if !record.is_live() {
            return None;
        }
        record.state = State::Silent;
        self.insert(now, record);
        Some(host.clone())
    }

    pub(super) fn reconnect_candidate(&self, random: f64) -> Option<Member> {
        /// Expected number of attempts by all hosts together per reconnect interval.
        const ATTEMPTS_PER_INTERVAL: f64 = 4.0;
        let is_silent = |it: &&KnownHost| it.record.state == State::Silent;
        let silent: Vec<_> = self.hosts.values().filter(is_silent).collect();
        let not_silent = u32::try_from(self.hosts.len() - silent.len()).unwrap_or(u32::MAX);
        if silent.is_empty() || random * f64::from(not_silent) >= ATTEMPTS_PER_INTERVAL {
            return None;
        }
        let index = hash::of(&random.to_bits()) % silent.len() as u64;
        let chosen = silent.get(usize::try_from(index).unwrap_or(0))?;
        Some(chosen.record.member.clone())
    }

    fn insert(&mut self, now: Duration, record: Record) {
        let name = record.member.name.clone();
        let before = self.hosts.get(&name);
        let changes_graph = before.is_none_or(|it| {
            let (old, new) = (&it.record, &record);
            old.is_live() != new.is_live() || old.member != new.member
        });
        let changes_ready = before.is_none_or(|it| {
            let (old, new) = (&it.record, &record);
            let is_ready = |it: &Record| it.state == State::Ready;
            is_ready(old) != is_ready(new) || old.member != new.member
        });
        if let Some(it) = before {
            self.fingerprint ^= it.fingerprint_part();
        }
        let known = KnownHost::new(now, record, before);
        self.fingerprint ^= known.fingerprint_part();
        self.hosts.insert(name, known);
        if changes_ready {
            self.ready_epoch += 1;
        }
        if changes_graph {
            self.epoch += 1;
            self.remove_expired(now);
        }
    }

    fn remove_expired(&mut self, now: Duration) {
        let is_expired =
            |it: &KnownHost| !it.record.is_live() && now >= it.stored_at + SILENT_RETENTION;
        self.hosts.retain(|_, it| !is_expired(it));
    }
}

/// Returns a short hash that identifies a host in place of its longer name.
pub(super) fn name_hash(host: &HostName) -> u32 {
    u32::try_from(hash::of(host.as_str()) & u64::from(u32::MAX)).unwrap_or_default()
}
