//! The hosts, as far as they are known.

use std::collections::{BTreeMap, HashSet};
use std::time::Duration;

use kernel::{HostName, Incarnation, hash};
use route::Peers;

use super::{Graph, Record, State};
use crate::Member;
use crate::addresses::Address;

/// How long a silent host is remembered, so that older news of it changes nothing.
/// One that comes back after that is found by the store's listing.
const REMEMBERED: Duration = Duration::from_mins(10);
/// How long a host has been silent when its entry is taken off: longer than hosts
/// are restarted or cut off for, as a rule.
const GONE: Duration = Duration::from_mins(1);
/// How long callers are sent to a host for its entry in the store alone: it is heard
/// within a second if it lives, or asked and found silent within three.
const TRUSTED: Duration = Duration::from_secs(6);
/// How long callers are still sent to a host after somebody found it silent, for each
/// hop that news takes to all: the host hears of it, and contradicts if it lives.
///
/// Failure: a data centre that was apart comes back, and each side has found most of
/// the other silent. Believed at once, these findings would leave a tenth of the hosts for
/// callers until the contradictions came, half a second later.
const DOUBTED: Duration = Duration::from_millis(150);
/// The most hosts that are known at a time, three times the most that are planned
/// for: names that somebody makes up must not fill the memory.
const MOST: usize = 1_024;

/// The hosts, as far as they are known.
#[derive(Debug)]
pub struct Roster {
    own: HostName,
    known: BTreeMap<HostName, Known>,
    /// Rises when hosts come, go silent or are moved.
    epoch: u64,
    fingerprint: u64,
}

#[derive(Clone, Debug)]
struct Known {
    record: Record,
    tag: u32,
    stamp: u64,
    /// When this was learned.
    since: Duration,
    /// How it was before it fell silent.
    before: State,
}

impl Roster {
    pub(super) fn new(own: Member, incarnation: Incarnation, now: Duration) -> Self {
        let mut roster = Self {
            own: own.name.clone(),
            known: BTreeMap::new(),
            epoch: 0,
            fingerprint: 0,
        };
        let state = State::Starting;
        let number = 0;
        roster.put(
            now,
            Record {
                member: own,
                incarnation,
                number,
                state,
            },
        );
        roster
    }

    /// What this host says of itself.
    #[must_use]
    pub fn own(&self) -> &Record {
        &self.known[&self.own].record
    }

    /// What is known of a host.
    #[must_use]
    pub fn get(&self, host: &HostName) -> Option<&Record> {
        self.known.get(host).map(|it| &it.record)
    }

    /// All hosts that aren't silent, this one included, by their names.
    pub fn live(&self) -> impl Iterator<Item = &Record> {
        self.known
            .values()
            .map(|it| &it.record)
            .filter(|it| it.is_live())
    }

    /// How many hosts live, this one included.
    #[must_use]
    pub fn count(&self) -> usize {
        self.live().count()
    }

    /// Where callers may be sent to.
    #[must_use]
    pub fn addresses(&self, now: Duration) -> Vec<Address> {
        let doubted = DOUBTED * Graph::hops(self.known.len());
        let serves = |it: &&Known| match it.record.state {
            State::Ready => true,
            State::Listed => now.saturating_sub(it.since) < TRUSTED,
            State::Silent => it.before == State::Ready && now.saturating_sub(it.since) < doubted,
            State::Starting | State::Leaving | State::Gone => false,
        };
        let known = self.known.values().filter(serves);
        known.map(|it| it.record.member.address()).collect()
    }

    /// Hosts that live and aren't among these entries of the store, or have moved.
    #[must_use]
    pub fn missing(&self, listed: &[Member]) -> Vec<Member> {
        let listed: HashSet<&Member> = listed.iter().collect();
        let is_told = |it: &&Record| it.state != State::Listed;
        let live = self.live().filter(is_told).map(|it| &it.member);
        live.filter(|it| !listed.contains(it)).cloned().collect()
    }

    /// Those of these entries of the store whose hosts have been silent for long.
    #[must_use]
    pub fn gone(&self, now: Duration, listed: &[Member]) -> Vec<Member> {
        let is_gone = |it: &&Member| {
            self.known
                .get(&it.name)
                .is_some_and(|known| !known.record.is_live() && now >= known.since + GONE)
        };
        listed.iter().filter(is_gone).cloned().collect()
    }

    /// This host's place in an order that every host knows, of those that can do
    /// something for all: such as serve, or all if none does yet. By hashes, since
    /// hosts with like names stand side by side.
    #[must_use]
    pub fn rank(&self) -> usize {
        let own = tag(&self.own);
        let before = |state: fn(State) -> bool| {
            self.known
                .values()
                .filter(|it| it.tag < own && state(it.record.state))
                .count()
        };
        let is_any_ready = self.live().any(|it| it.state == State::Ready);
        if is_any_ready {
            before(|it| it == State::Ready)
        } else {
            before(|it| matches!(it, State::Listed | State::Starting))
        }
    }

    /// Tells whether two hosts know the same.
    #[must_use]
    pub fn fingerprint(&self) -> u64 {
        self.fingerprint
    }

    /// The hosts that share what cold endpoints take: all that are known.
    #[must_use]
    pub fn peers(&self) -> Peers {
        Peers::new(&self.own, self.known.keys())
    }

    pub(crate) fn epoch(&self) -> u64 {
        self.epoch
    }

    /// The hosts' tags and stamps: whether two hosts know the same of one.
    pub(super) fn stamps(&self) -> impl Iterator<Item = (u32, u64, &Record)> {
        self.known
            .values()
            .map(|it| (it.tag, it.stamp, &it.record))
            .filter(|it| it.2.state != State::Listed)
    }

    pub(super) fn by_tags(&self, tags: &[u32]) -> Vec<Record> {
        self.stamps()
            .filter(|it| tags.contains(&it.0))
            .map(|it| it.2.clone())
            .collect()
    }

    /// Takes a host's entry in the store, which says less than anything that was
    /// heard of it since it moved there.
    pub(super) fn list(&mut self, now: Duration, member: Member) {
        let known = self.get(&member.name);
        let is_new = known.is_none_or(|it| {
            let has_moved = it.member.link != member.link || it.member.front != member.front;
            has_moved && matches!(it.state, State::Listed | State::Silent)
        });
        if is_new && member.name != self.own {
            let record = Record {
                member,
                incarnation: Incarnation(0),
                number: 0,
                state: State::Listed,
            };
            self.put(now, record);
        }
    }

    /// Takes this host's own state, and says whether it changed.
    pub(super) fn set_own(&mut self, now: Duration, state: State) -> bool {
        let mut record = self.own().clone();
        if record.state == state {
            return false;
        }
        record.state = state;
        record.number += 1;
        self.put(now, record);
        true
    }

    /// Takes what somebody says of a host. Returns its name if it is to be told on.
    pub(super) fn merge(&mut self, now: Duration, record: &Record) -> Option<HostName> {
        let name = &record.member.name;
        if *name == self.own {
            return self.contradict(now, record);
        }
        match self.get(name) {
            // Nothing is lost by not knowing a host that is gone.
            None if !record.is_live() => return None,
            Some(known) if !record.is_later(known) => return None,
            _ => {}
        }
        if record.state == State::Listed || self.known.len() >= MOST {
            return None;
        }
        self.put(now, record.clone());
        Some(name.clone())
    }

    /// Contradicts what others say of this host, unless it said so itself.
    ///
    /// A clock that was set back between two lives would have the former one's word
    /// stand for ever; this life takes a number above it.
    fn contradict(&mut self, now: Duration, said: &Record) -> Option<HostName> {
        let own = self.own();
        if !said.is_later(own) {
            return None;
        }
        let mut record = own.clone();
        record.incarnation = record.incarnation.max(said.incarnation);
        record.number = said.number + 1;
        if said.incarnation > own.incarnation {
            record.incarnation = Incarnation(said.incarnation.0 + 1);
        }
        self.put(now, record);
        Some(self.own.clone())
    }

    /// Takes that a host is silent, and returns its name if that is new.
    pub(super) fn silence(&mut self, now: Duration, host: &HostName) -> Option<HostName> {
        let mut record = self.get(host)?.clone();
        if !record.is_live() {
            return None;
        }
        record.state = State::Silent;
        self.put(now, record);
        Some(host.clone())
    }

    pub(super) fn lost(&self, chance: f64) -> Option<Member> {
        /// How many tries all hosts together make each time that each may.
        const TRIES: f64 = 4.0;
        let is_lost = |it: &&Known| it.record.state == State::Silent;
        let lost: Vec<_> = self.known.values().filter(is_lost).collect();
        let live = u32::try_from(self.known.len() - lost.len()).unwrap_or(u32::MAX);
        if lost.is_empty() || chance * f64::from(live) >= TRIES {
            return None;
        }
        let place = hash::of(&chance.to_bits()) % lost.len() as u64;
        let chosen = lost.get(usize::try_from(place).unwrap_or(0))?;
        Some(chosen.record.member.clone())
    }

    fn put(&mut self, now: Duration, record: Record) {
        let name = record.member.name.clone();
        let before = self.known.get(&name);
        let is_moved = before.is_none_or(|it| {
            let (old, new) = (&it.record, &record);
            old.is_live() != new.is_live() || old.member != new.member
        });
        if let Some(it) = before {
            self.fingerprint ^= share(it);
        }
        let known = Known {
            before: before.map_or(record.state, |it| {
                if it.record.is_live() {
                    it.record.state
                } else {
                    it.before
                }
            }),
            tag: tag(&name),
            stamp: stamp(&record),
            record,
            since: now,
        };
        self.fingerprint ^= share(&known);
        self.known.insert(name, known);
        if is_moved {
            self.epoch += 1;
            self.forget(now);
        }
    }

    fn forget(&mut self, now: Duration) {
        let is_old = |it: &Known| !it.record.is_live() && now >= it.since + REMEMBERED;
        self.known.retain(|_, it| !is_old(it));
    }
}

/// A host's part of the fingerprint. Silent hosts have none, since each host forgets
/// them when its own time comes, and neither have entries of the store.
fn share(it: &Known) -> u64 {
    match it.record.state {
        State::Listed | State::Silent | State::Gone => 0,
        State::Starting | State::Ready | State::Leaving => it.stamp,
    }
}

fn stamp(it: &Record) -> u64 {
    hash::of(&(&it.member.name, it.incarnation, it.number, it.state))
}

/// Stands for a host's name, which is longer than all the rest.
pub(super) fn tag(host: &HostName) -> u32 {
    // The lower half is as good as all of it.
    u32::try_from(hash::of(host.as_str()) & u64::from(u32::MAX)).unwrap_or_default()
}
