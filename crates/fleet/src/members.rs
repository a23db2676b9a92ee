//! Membership records of the other hosts, and the rules for merging updates.

use std::cmp::Ordering;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use kernel::HostName;
use slotmap::{SlotMap, new_key_type};
use wire::{Identity, Member, State};

use crate::view::View;

new_key_type! {
    /// The key of a member's entry in the arena.
    pub(crate) struct MemberKey;
}

/// A membership record with this host's local data on the member.
#[derive(Clone, Debug)]
pub(crate) struct Entry {
    pub(crate) member: Member,
    /// The time at which this host recorded the present state. For a suspect it is
    /// moved forward by the time for which this process was frozen.
    pub(crate) since: Duration,
    pub(crate) load: Option<LoadReport>,
    /// The state that the member last declared itself, [`State::Alive`] or
    /// [`State::Leaving`]; assumed to be alive if unknown.
    declared_state: State,
}

/// A reported load and the time of the report.
#[derive(Clone, Copy, Debug)]
pub(crate) struct LoadReport {
    pub(crate) level: u8,
    pub(crate) at: Duration,
}

/// The result of merging a membership record.
#[derive(Debug)]
pub(crate) enum Merge {
    /// The host was unknown and has been added.
    New,
    /// The record was updated; holds the previous state, which may be the same.
    Changed(State),
    /// A newer incarnation replaced the given record.
    Replaced(Member),
    /// Nothing changed: the same record is known, or the record declares an unknown
    /// host dead.
    Known,
    /// A newer record is already known.
    Stale,
}

/// All other members, indexed by host name.
#[derive(Default)]
pub(crate) struct Members {
    arena: SlotMap<MemberKey, Entry>,
    keys: BTreeMap<HostName, MemberKey>,
    suspects: BTreeSet<MemberKey>,
    epoch: u64,
}

impl Members {
    /// A counter that increases when a member is added, or changes its state or
    /// incarnation.
    pub(crate) fn epoch(&self) -> u64 {
        self.epoch
    }

    pub(crate) fn find(&self, host: &HostName) -> Option<&Entry> {
        self.keys.get(host).and_then(|it| self.arena.get(*it))
    }

    pub(crate) fn get(&self, key: MemberKey) -> Option<&Entry> {
        self.arena.get(key)
    }

    /// Returns the host's entry if its known incarnation is this one.
    pub(crate) fn find_incarnation(&self, identity: &Identity) -> Option<&Entry> {
        self.find(&identity.host)
            .filter(|it| it.member.identity == *identity)
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = &Entry> {
        self.keys.values().map(|it| &self.arena[*it])
    }

    /// Returns all members except the unreachable and the dead.
    pub(crate) fn reachable(&self) -> impl Iterator<Item = (MemberKey, &Entry)> {
        self.keys
            .values()
            .map(|it| (*it, &self.arena[*it]))
            .filter(|(_, it)| it.member.state <= State::Suspect)
    }

    pub(crate) fn alive(&self) -> impl Iterator<Item = &Member> {
        self.iter()
            .map(|it| &it.member)
            .filter(|it| it.state == State::Alive)
    }

    pub(crate) fn suspects(&self) -> impl Iterator<Item = &Entry> {
        self.suspects.iter().map(|it| &self.arena[*it])
    }

    /// Merges a membership record of another host.
    ///
    /// The higher incarnation wins. Within an incarnation [`State::Dead`] wins,
    /// then the higher refutation, then the later state. Updates may therefore
    /// arrive repeatedly and in any order, and all hosts converge on the same
    /// record.
    pub(crate) fn merge(&mut self, now: Duration, view: &mut View, news: &Member) -> Merge {
        let Some(&key) = self.keys.get(&news.identity.host) else {
            return self.insert(now, view, news);
        };
        let entry = &mut self.arena[key];
        match compare_records(news, &entry.member) {
            Ordering::Less => return Merge::Stale,
            Ordering::Equal => return Merge::Known,
            Ordering::Greater => {}
        }
        let old = std::mem::replace(&mut entry.member, news.clone());
        let is_same_incarnation = old.identity == news.identity;
        if old.state != news.state || !is_same_incarnation {
            entry.since = now;
            self.epoch += 1;
        }
        if !is_same_incarnation {
            entry.load = None;
        }
        if news.state < State::Suspect || !is_same_incarnation {
            entry.declared_state = declared_state(news.state);
        }
        view.toggle_member(&old);
        view.toggle_member(news);
        self.update_suspects(key, news.state);
        if is_same_incarnation {
            Merge::Changed(old.state)
        } else {
            Merge::Replaced(old)
        }
    }

    /// Restores a suspect or unreachable member to the state that it last
    /// declared itself. Returns the record and its previous state.
    pub(crate) fn retract_accusation(
        &mut self,
        now: Duration,
        view: &mut View,
        host: &HostName,
    ) -> Option<(Member, State)> {
        let key = *self.keys.get(host)?;
        let entry = &mut self.arena[key];
        let before = entry.member.state;
        if !is_accused(before) {
            return None;
        }
        view.toggle_member(&entry.member);
        entry.member.state = entry.declared_state;
        entry.since = now;
        view.toggle_member(&entry.member);
        let member = entry.member.clone();
        self.suspects.remove(&key);
        self.epoch += 1;
        Some((member, before))
    }

    /// Records a member's load unless a report at least as recent is known.
    pub(crate) fn record_load(&mut self, host: &HostName, report: LoadReport) {
        let Some(entry) = self.keys.get(host).and_then(|it| self.arena.get_mut(*it)) else {
            return;
        };
        if entry.load.is_none_or(|it| it.at < report.at) {
            entry.load = Some(report);
        }
    }

    /// Extends the suspicion of all suspects.
    pub(crate) fn extend_suspicions(&mut self, by: Duration) {
        for key in &self.suspects {
            self.arena[*key].since += by;
        }
    }

    /// Removes members that have been dead since before the given time.
    pub(crate) fn forget(&mut self, before: Duration) {
        let arena = &mut self.arena;
        self.keys.retain(|_, key| {
            let entry = &arena[*key];
            let is_over = entry.member.state == State::Dead && entry.since < before;
            if is_over {
                arena.remove(*key);
            }
            !is_over
        });
    }

    /// Estimates the memory that the records take, in bytes.
    pub(crate) fn bytes(&self) -> usize {
        let entry = size_of::<Entry>() + size_of::<(MemberKey, HostName)>();
        let text = |it: &Member| {
            it.identity.host.as_str().len()
                + it.data_centre.as_str().len()
                + it.region.as_str().len()
                + 3 * 2 * size_of::<usize>()
        };
        self.iter().map(|it| entry + text(&it.member)).sum()
    }

    fn insert(&mut self, now: Duration, view: &mut View, news: &Member) -> Merge {
        if news.state == State::Dead {
            return Merge::Known;
        }
        let key = self.arena.insert(Entry {
            member: news.clone(),
            since: now,
            load: None,
            declared_state: declared_state(news.state),
        });
        self.keys.insert(news.identity.host.clone(), key);
        self.epoch += 1;
        view.toggle_member(news);
        self.update_suspects(key, news.state);
        Merge::New
    }

    fn update_suspects(&mut self, key: MemberKey, state: State) {
        if state == State::Suspect {
            self.suspects.insert(key);
        } else {
            self.suspects.remove(&key);
        }
    }
}

/// Returns the state that the host declared itself. If other hosts assigned the
/// record's state, the declared one is unknown and [`State::Alive`] is assumed; any
/// state that the host declares later overrides it.
fn declared_state(state: State) -> State {
    if state < State::Suspect {
        state
    } else {
        State::Alive
    }
}

/// Returns whether other hosts assign this state and the host itself can refute it.
pub(crate) fn is_accused(state: State) -> bool {
    matches!(state, State::Suspect | State::Unreachable)
}

/// Compares two records of a host by precedence; the greater one wins.
fn compare_records(a: &Member, b: &Member) -> Ordering {
    let rank = |it: &Member| {
        (
            it.identity.incarnation,
            it.state == State::Dead,
            it.refutation,
            it.state,
        )
    };
    rank(a).cmp(&rank(b))
}
