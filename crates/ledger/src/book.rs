//! What is remembered of the keys that this host decides about.

use std::collections::{BTreeSet, HashMap, VecDeque};
use std::time::Duration;

use kernel::RequestKey;
use slotmap::{SlotMap, new_key_type};

use crate::calls::CallKey;
use crate::{Fingerprint, Outcome, Serial};

new_key_type! {
    /// A remembered key.
    pub(crate) struct EntryKey;
}

/// What is remembered of one key.
#[derive(Debug)]
pub(crate) struct Entry {
    pub(crate) key: RequestKey,
    pub(crate) fingerprint: Fingerprint,
    pub(crate) state: State,
    /// The claim's nonce, if the key is decided in the table.
    pub(crate) claim: Option<Claiming>,
    /// How many permitted calls there are of it.
    pub(crate) running: u32,
    /// How many attempts of all its calls may have run.
    pub(crate) sent: u32,
    /// The record that bills it.
    pub(crate) billed: Option<Serial>,
    /// Whether the table says that its outcome is unknown.
    pub(crate) marked: bool,
    pub(crate) waiters: VecDeque<CallKey>,
    /// How long it is remembered at least.
    until: Duration,
}

/// What came of a key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum State {
    /// Its claim is being written.
    Claiming,
    /// Nothing of it ever ran: it may run.
    Free,
    /// It is running.
    Running,
    /// It was answered.
    Answered(Option<Outcome>),
    /// It was sent and never answered: it may have run.
    Unknown,
}

/// A claim in the table.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Claiming {
    pub(crate) nonce: u64,
    /// When the claim's write is given up.
    pub(crate) until: Duration,
}

/// The remembered keys, with a bound on the bytes of their answers.
#[derive(Debug, Default)]
pub(crate) struct Book {
    entries: SlotMap<EntryKey, Entry>,
    keys: HashMap<RequestKey, EntryKey>,
    expiries: BTreeSet<(Duration, EntryKey)>,
    answered: VecDeque<EntryKey>,
    outcome_bytes: usize,
    /// The highest record number among the forgotten keys.
    forgotten: Serial,
}

impl Entry {
    pub(crate) fn new(key: RequestKey, fingerprint: Fingerprint, state: State) -> Self {
        Self {
            key,
            fingerprint,
            state,
            claim: None,
            running: 0,
            sent: 0,
            billed: None,
            marked: false,
            waiters: VecDeque::new(),
            until: Duration::ZERO,
        }
    }

    /// Whether any arrival of the key was sent, or may yet be.
    pub(crate) fn may_have_run(&self) -> bool {
        self.sent > 0 || self.running > 0
    }

    pub(crate) fn is_idle(&self) -> bool {
        self.running == 0 && self.waiters.is_empty() && self.state != State::Claiming
    }
}

impl Book {
    pub(crate) fn add(&mut self, mut entry: Entry, expires: Duration) -> EntryKey {
        let key = entry.key.clone();
        entry.until = expires;
        let entry = self.entries.insert(entry);
        self.keys.insert(key, entry);
        self.expiries.insert((expires, entry));
        entry
    }

    pub(crate) fn find(&self, key: &RequestKey) -> Option<EntryKey> {
        self.keys.get(key).copied()
    }

    pub(crate) fn get(&self, entry: EntryKey) -> Option<&Entry> {
        self.entries.get(entry)
    }

    pub(crate) fn get_mut(&mut self, entry: EntryKey) -> Option<&mut Entry> {
        self.entries.get_mut(entry)
    }

    /// Forgets an entry for which nothing ever ran.
    pub(crate) fn remove(&mut self, entry: EntryKey) -> Option<Entry> {
        let removed = self.entries.remove(entry)?;
        self.keys.remove(&removed.key);
        if let State::Answered(Some(outcome)) = &removed.state {
            self.outcome_bytes -= outcome.len();
        }
        Some(removed)
    }

    /// Keeps the answer of `entry`, and drops the oldest answers beyond `total` bytes.
    pub(crate) fn answer(&mut self, entry: EntryKey, outcome: Option<Outcome>, total: usize) {
        let Some(it) = self.entries.get_mut(entry) else {
            return;
        };
        if let State::Answered(Some(before)) = &it.state {
            self.outcome_bytes -= before.len();
        }
        if let Some(outcome) = &outcome {
            self.outcome_bytes += outcome.len();
            self.answered.push_back(entry);
        }
        it.state = State::Answered(outcome);
        while let Some(&oldest) = self.answered.front() {
            if self.has_outcome(oldest) && self.outcome_bytes <= total {
                break;
            }
            self.answered.pop_front();
            self.drop_outcome(oldest);
        }
    }

    fn has_outcome(&self, entry: EntryKey) -> bool {
        self.entries
            .get(entry)
            .is_some_and(|it| matches!(it.state, State::Answered(Some(_))))
    }

    fn drop_outcome(&mut self, entry: EntryKey) {
        let Some(it) = self.entries.get_mut(entry) else {
            return;
        };
        if let State::Answered(outcome) = &mut it.state {
            self.outcome_bytes -= outcome.take().map_or(0, |outcome| outcome.len());
        }
    }

    /// Takes one entry whose time to be remembered is over. It is removed by
    /// [`Book::forget`] or put back by [`Book::extend`].
    pub(crate) fn take_expired(&mut self, now: Duration) -> Option<EntryKey> {
        loop {
            let &(at, entry) = self.expiries.first().filter(|(at, _)| *at <= now)?;
            self.expiries.remove(&(at, entry));
            if self.entries.get(entry).is_some_and(|it| it.until <= now) {
                return Some(entry);
            }
        }
    }

    /// Remembers an entry until then at least.
    pub(crate) fn extend(&mut self, entry: EntryKey, until: Duration) {
        let Some(it) = self.entries.get_mut(entry) else {
            return;
        };
        if it.until < until {
            it.until = until;
            self.expiries.insert((until, entry));
        }
    }

    /// Forgets an entry, but not that keys of its age have been forgotten.
    pub(crate) fn forget(&mut self, entry: EntryKey) {
        if let Some(removed) = self.remove(entry) {
            self.forgotten = self.forgotten.max(removed.billed.unwrap_or_default());
        }
    }

    /// Whether every key that was billed under a number from `floor` on is still remembered.
    pub(crate) fn is_whole_since(&self, floor: Serial) -> bool {
        self.forgotten < floor
    }

    pub(crate) fn entries(&self) -> impl Iterator<Item = (EntryKey, &Entry)> {
        self.entries.iter()
    }

    pub(crate) fn len(&self) -> usize {
        self.entries.len()
    }

    pub(crate) fn outcome_bytes(&self) -> usize {
        self.outcome_bytes
    }
}
