//! A host's latest record, and what is known of its states before.

use std::cmp::Reverse;
use std::time::Duration;

use kernel::hash;

use super::name_hash;
use crate::gossip::{Record, State};

/// A host's latest record, and what is known of its states before.
#[derive(Clone, Debug)]
pub(super) struct KnownHost {
    pub(super) record: Record,
    pub(super) name_hash: u32,
    pub(super) record_hash: u64,
    /// The time at which this record was stored.
    pub(super) stored_at: Duration,
    /// The last live state before this record; the record's own state if the host was unknown.
    pub(super) last_live_state: State,
    /// The last time at which the host was live again after it was silent.
    pub(super) returned_at: Option<Duration>,
}

impl KnownHost {
    /// Creates the entry of a host from a record that replaces `before`.
    pub(super) fn new(now: Duration, record: Record, before: Option<&Self>) -> Self {
        let last_live_state = match before {
            Some(it) if it.record.is_live() => it.record.state,
            Some(it) => it.last_live_state,
            None => record.state,
        };
        let returned_at = match before {
            Some(it) if !it.record.is_live() && record.is_live() => Some(now),
            _ => before.and_then(|it| it.returned_at),
        };
        Self {
            last_live_state,
            returned_at,
            name_hash: name_hash(&record.member.name),
            record_hash: record_hash(&record),
            record,
            stored_at: now,
        }
    }

    /// Returns the key by which hosts are ordered.
    pub(super) fn order(&self) -> (Reverse<u64>, u32) {
        (
            Reverse(self.record.member.capacity.rating()),
            self.name_hash,
        )
    }

    /// Returns the host's part of the fingerprint. Silent and gone hosts have none because each host
    /// forgets them at a different time, and listed hosts have none because no host reported them.
    pub(super) fn fingerprint_part(&self) -> u64 {
        match self.record.state {
            State::Listed | State::Silent | State::Gone => 0,
            State::Starting | State::Ready | State::Leaving | State::Isolated => self.record_hash,
        }
    }
}

fn record_hash(it: &Record) -> u64 {
    hash::of(&(&it.member.name, it.incarnation, it.sequence, it.state))
}
