//! The other members, and which news of them counts.

use std::cmp::Ordering;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use kernel::HostName;
use slotmap::{SlotMap, new_key_type};
use wire::{Identity, Member, State};

use crate::view::View;

new_key_type! {
    /// A member in the arena.
    pub(crate) struct MemberKey;
}

/// What is known of one other member.
#[derive(Clone, Debug)]
pub(crate) struct Entry {
    pub(crate) member: Member,
    /// Since when it has its state here.
    pub(crate) since: Duration,
    pub(crate) load: Option<Level>,
    /// What it last said of itself, [`State::Alive`] or [`State::Leaving`].
    own_word: State,
}

/// A load and when the member said so.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Level {
    pub(crate) level: u8,
    pub(crate) at: Duration,
}

/// What a piece of news of a member did.
#[derive(Debug)]
pub(crate) enum Merge {
    /// The host wasn't known.
    New,
    /// Its state was another before.
    Changed(State),
    /// It is a new life of a host; the old life's record is handed back.
    Replaced(Member),
    /// It was known.
    Known,
    /// Something newer is known.
    Stale,
}

/// All other members by host name.
#[derive(Default)]
pub(crate) struct Members {
    arena: SlotMap<MemberKey, Entry>,
    keys: BTreeMap<HostName, MemberKey>,
    suspects: BTreeSet<MemberKey>,
    epoch: u64,
}

impl Members {
    /// Changes whenever a member joins, goes or changes its state.
    pub(crate) fn epoch(&self) -> u64 {
        self.epoch
    }

    pub(crate) fn find(&self, host: &HostName) -> Option<&Entry> {
        self.keys.get(host).and_then(|it| self.arena.get(*it))
    }

    pub(crate) fn get(&self, key: MemberKey) -> Option<&Entry> {
        self.arena.get(key)
    }

    /// The life that is known, if it is exactly this one.
    pub(crate) fn find_life(&self, identity: &Identity) -> Option<&Entry> {
        self.find(&identity.host)
            .filter(|it| it.member.identity == *identity)
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = &Entry> {
        self.keys.values().map(|it| &self.arena[*it])
    }

    /// Those that take part: all but the unreachable and the dead.
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

    /// Takes in news of another host.
    ///
    /// Of two lives of a host the one with the higher incarnation counts,
    /// whatever else is said; of one life death counts, and otherwise what the
    /// host itself contradicted last. So news may come in any order and any
    /// number of times, and all hosts end with the same record.
    pub(crate) fn merge(&mut self, now: Duration, view: &mut View, news: &Member) -> Merge {
        let Some(&key) = self.keys.get(&news.identity.host) else {
            return self.insert(now, view, news);
        };
        let entry = &mut self.arena[key];
        match order(news, &entry.member) {
            Ordering::Less => return Merge::Stale,
            Ordering::Equal => return Merge::Known,
            Ordering::Greater => {}
        }
        let old = std::mem::replace(&mut entry.member, news.clone());
        let is_same_life = old.identity == news.identity;
        if old.state != news.state || !is_same_life {
            entry.since = now;
            self.epoch += 1;
        }
        if !is_same_life {
            entry.load = None;
        }
        if news.state < State::Suspect || !is_same_life {
            entry.own_word = own_word(news.state);
        }
        view.toggle_member(&old);
        view.toggle_member(news);
        self.note_suspect(key, news.state);
        if is_same_life {
            Merge::Changed(old.state)
        } else {
            Merge::Replaced(old)
        }
    }

    /// Takes back an accusation of the life that is known, and gives its record
    /// and its state before.
    pub(crate) fn acquit(
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
        entry.member.state = entry.own_word;
        entry.since = now;
        view.toggle_member(&entry.member);
        let member = entry.member.clone();
        self.suspects.remove(&key);
        self.epoch += 1;
        Some((member, before))
    }

    /// Notes what a member said of its load, if that is the latest.
    pub(crate) fn note_load(&mut self, host: &HostName, level: Level) {
        let Some(entry) = self.keys.get(host).and_then(|it| self.arena.get_mut(*it)) else {
            return;
        };
        if entry.load.is_none_or(|it| it.at < level.at) {
            entry.load = Some(level);
        }
    }

    /// Grants all suspects more time.
    pub(crate) fn postpone(&mut self, by: Duration) {
        for key in &self.suspects {
            self.arena[*key].since += by;
        }
    }

    /// Forgets the dead of long ago.
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

    /// An estimate of the memory that the records take.
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
            own_word: own_word(news.state),
        });
        self.keys.insert(news.identity.host.clone(), key);
        self.epoch += 1;
        view.toggle_member(news);
        self.note_suspect(key, news.state);
        Merge::New
    }

    fn note_suspect(&mut self, key: MemberKey, state: State) {
        if state == State::Suspect {
            self.suspects.insert(key);
        } else {
            self.suspects.remove(&key);
        }
    }
}

/// What a host says of itself as far as a record shows it. Under an accusation
/// that is unknown, and [`State::Alive`] gives way to whatever it says later.
fn own_word(state: State) -> State {
    if state < State::Suspect {
        state
    } else {
        State::Alive
    }
}

/// Whether others say so of a host, which may contradict.
pub(crate) fn is_accused(state: State) -> bool {
    matches!(state, State::Suspect | State::Unreachable)
}

/// Which of two records of a host is the later one.
fn order(a: &Member, b: &Member) -> Ordering {
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
