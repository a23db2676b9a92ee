//! The idempotency keys that this host decides about.

use std::collections::{BTreeSet, HashMap, VecDeque};
use std::time::Duration;

use kernel::RequestKey;
use slotmap::{SlotMap, new_key_type};

use crate::calls::CallKey;
use crate::{Fingerprint, Outcome, Serial};

new_key_type! {
    /// Identifies a remembered key.
    pub(crate) struct EntryKey;
}

/// The state of one key.
#[derive(Debug)]
pub(crate) struct Entry {
    pub(crate) key: RequestKey,
    pub(crate) fingerprint: Fingerprint,
    pub(crate) state: State,
    /// The claim in the table, for a key without a ticket.
    pub(crate) claim: Option<OwnClaim>,
    /// The number of permitted calls that haven't ended.
    pub(crate) running: u32,
    /// The number of attempts that may have run, over all calls.
    pub(crate) sent: u32,
    /// The serial of the record that bills the key.
    pub(crate) billed: Option<Serial>,
    /// Whether the claim's row says that the outcome is unknown.
    pub(crate) marked: bool,
    pub(crate) waiters: VecDeque<CallKey>,
    /// The earliest time at which the key may be forgotten.
    until: Duration,
}

/// The execution state of a key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum State {
    /// The claim is being written.
    Claiming,
    /// A call may start. No attempt of an at-most-once key has run.
    Runnable,
    /// An at-most-once call is running.
    Running,
    /// A call ran to a response.
    Answered(Option<Outcome>),
    /// An attempt was sent and got no response, so it may have run.
    Unknown,
}

/// A claim in the table.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct OwnClaim {
    pub(crate) nonce: u64,
    /// The time from which a failed write of the claim isn't retried.
    pub(crate) deadline: Duration,
}

/// The remembered keys. The bytes of their stored responses are limited.
#[derive(Debug, Default)]
pub(crate) struct KeyRegistry {
    entries: SlotMap<EntryKey, Entry>,
    keys: HashMap<RequestKey, EntryKey>,
    expiries: BTreeSet<(Duration, EntryKey)>,
    answered: VecDeque<EntryKey>,
    outcome_bytes: usize,
    /// The highest billing serial among the forgotten keys.
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

    /// Whether any attempt of the key was sent or may still be sent.
    pub(crate) fn may_have_run(&self) -> bool {
        self.sent > 0 || self.running > 0
    }

    pub(crate) fn is_idle(&self) -> bool {
        self.running == 0 && self.waiters.is_empty() && self.state != State::Claiming
    }
}

impl KeyRegistry {
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

    /// Removes an entry without recording its billing serial.
    pub(crate) fn remove(&mut self, entry: EntryKey) -> Option<Entry> {
        let removed = self.entries.remove(entry)?;
        self.keys.remove(&removed.key);
        if let State::Answered(Some(outcome)) = &removed.state {
            self.outcome_bytes -= outcome.len();
        }
        Some(removed)
    }

    /// Stores the response of `entry`, and drops the oldest stored responses beyond `total` bytes.
    pub(crate) fn store_response(
        &mut self,
        entry: EntryKey,
        outcome: Option<Outcome>,
        total: usize,
    ) {
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

    /// Returns one entry whose retention time is over. The caller must then call
    /// [`KeyRegistry::forget`] or [`KeyRegistry::extend`] for it.
    pub(crate) fn take_expired(&mut self, now: Duration) -> Option<EntryKey> {
        loop {
            let &(at, entry) = self.expiries.first().filter(|(at, _)| *at <= now)?;
            self.expiries.remove(&(at, entry));
            if self.entries.get(entry).is_some_and(|it| it.until <= now) {
                return Some(entry);
            }
        }
    }

    /// Extends the retention time of an entry to at least `until`.
    pub(crate) fn extend(&mut self, entry: EntryKey, until: Duration) {
        let Some(it) = self.entries.get_mut(entry) else {
            return;
        };
        if it.until < until {
            it.until = until;
            self.expiries.insert((until, entry));
        }
    }

    /// Removes an entry and records its billing serial; see
    /// [`KeyRegistry::remembers_all_billed_since`].
    pub(crate) fn forget(&mut self, entry: EntryKey) {
        if let Some(removed) = self.remove(entry) {
            self.forgotten = self.forgotten.max(removed.billed.unwrap_or_default());
        }
    }

    /// Whether every key that was billed at serial `floor` or later is still remembered.
    pub(crate) fn remembers_all_billed_since(&self, floor: Serial) -> bool {
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
