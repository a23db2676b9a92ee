//! Copies of other hosts' records.

use std::collections::BTreeMap;
use std::time::Duration;

use kernel::Incarnation;

use crate::context::Context;
use crate::encoded_record::EncodedRecord;
use crate::peers::Peers;
use crate::timers::Timer;
use crate::{Message, Record, Serial};

/// Interval between questions to the owners about old copies.
const QUERY_INTERVAL: Duration = Duration::from_secs(30);
/// The same interval while this host is shutting down.
const DRAINING_QUERY_INTERVAL: Duration = Duration::from_secs(1);
/// Maximum number of copies that one question to an owner lists.
const MAX_QUERIED: usize = 256;

/// Copies of other hosts' records, kept until their owners release them or are gone.
#[derive(Debug, Default)]
pub(crate) struct ReceivedCopies {
    owners: BTreeMap<Incarnation, Owner>,
    len: usize,
    outcome_bytes: usize,
}

#[derive(Debug, Default)]
struct Owner {
    /// All serials below this are released, even if their copies arrive later.
    below: Serial,
    /// The highest stored serial at the last run of [`ReceivedCopies::query_owners`].
    at_last_query: Serial,
    records: BTreeMap<Serial, EncodedRecord>,
}

impl ReceivedCopies {
    pub(crate) fn len(&self) -> usize {
        self.len
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.len == 0
    }

    pub(crate) fn owners(&self) -> impl Iterator<Item = Incarnation> {
        self.owners
            .iter()
            .filter(|(_, owner)| !owner.records.is_empty())
            .map(|(&owner, _)| owner)
    }

    /// Stores copies of another host's records, or refuses them for lack of room or because of a
    /// shutdown.
    pub(crate) fn copy(
        &mut self,
        cx: &mut Context,
        from: Incarnation,
        copy_id: u64,
        records: Vec<Record>,
    ) {
        let room = cx.shared.tuning.held_copies.saturating_sub(self.len);
        if records.len() > room || cx.shared.draining {
            cx.send(from, Message::CopyRefused { copy_id });
            return;
        }
        let bytes_left = cx.shared.tuning.max_total_outcome_bytes;
        let bytes_left = bytes_left.saturating_sub(self.outcome_bytes);
        self.store(cx, from, drop_excess_outcomes(records, bytes_left));
        cx.send(from, Message::Copied { copy_id });
    }

    /// Stores records of `owner`, except those below the serial up to which it has released all.
    pub(crate) fn store(&mut self, cx: &mut Context, owner: Incarnation, records: Vec<Record>) {
        if records.is_empty() {
            return;
        }
        cx.arm(QUERY_INTERVAL, Timer::QueryOwners);
        let owner = self.owners.entry(owner).or_default();
        for record in records {
            if record.serial < owner.below {
                continue;
            }
            self.outcome_bytes += record.outcome_bytes();
            match owner
                .records
                .insert(record.serial, EncodedRecord::new(&record))
            {
                Some(before) => self.outcome_bytes -= before.outcome_bytes(),
                None => self.len += 1,
            }
        }
    }

    pub(crate) fn release(&mut self, from: Incarnation, below: Serial, serials: &[Serial]) {
        let Some(owner) = self.owners.get_mut(&from) else {
            return;
        };
        owner.below = owner.below.max(below);
        let kept = owner.records.split_off(&owner.below);
        let lower = std::mem::replace(&mut owner.records, kept);
        let listed = serials
            .iter()
            .filter_map(|serial| owner.records.remove(serial));
        for record in lower.into_values().chain(listed) {
            self.len -= 1;
            self.outcome_bytes -= record.outcome_bytes();
        }
    }

    /// Removes owners that are gone and have no copies here.
    pub(crate) fn prune(&mut self, is_live: impl Fn(Incarnation) -> bool) {
        self.owners
            .retain(|&it, owner| is_live(it) || !owner.records.is_empty());
    }

    /// Asks the live owners about old copies. A release may have been lost, or the owner may have
    /// taken this host for dead and copied its records to another one.
    pub(crate) fn query_owners(&mut self, cx: &mut Context, peers: &Peers) {
        if self.is_empty() {
            return;
        }
        let interval = if cx.shared.draining {
            DRAINING_QUERY_INTERVAL
        } else {
            QUERY_INTERVAL
        };
        cx.arm(interval, Timer::QueryOwners);
        for (&to, owner) in &mut self.owners {
            let due = owner
                .records
                .range(..=owner.at_last_query)
                .take(MAX_QUERIED);
            let serials: Vec<Serial> = due.map(|(&serial, _)| serial).collect();
            let last = owner.records.last_key_value();
            owner.at_last_query = last.map_or(owner.at_last_query, |(&serial, _)| serial);
            if !serials.is_empty() && peers.is_live(to) {
                cx.send(to, Message::QueryCopies { serials });
            }
        }
    }

    /// Removes and returns all copies of `owner`.
    pub(crate) fn take_owned(&mut self, owner: Incarnation) -> Vec<Record> {
        let Some(owner) = self.owners.remove(&owner) else {
            return Vec::new();
        };
        let records: Vec<_> = owner.records.values().map(EncodedRecord::decode).collect();
        self.len -= records.len();
        self.outcome_bytes -= records.iter().map(Record::outcome_bytes).sum::<usize>();
        records
    }
}

/// Drops the stored responses that don't fit into `bytes_left` bytes. The charges stay.
fn drop_excess_outcomes(mut records: Vec<Record>, mut bytes_left: usize) -> Vec<Record> {
    for record in &mut records {
        if record.outcome_bytes() > bytes_left {
            record.drop_outcome();
        }
        bytes_left -= record.outcome_bytes();
    }
    records
}
