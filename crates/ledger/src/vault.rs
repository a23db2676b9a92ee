//! Copies of other hosts' records.

use std::collections::BTreeMap;
use std::time::Duration;

use kernel::Incarnation;

use crate::cx::Cx;
use crate::packed::Packed;
use crate::peers::Peers;
use crate::timers::Timer;
use crate::{Message, Record, Serial};

/// Interval between questions to the owners about old copies.
const ASK_INTERVAL: Duration = Duration::from_secs(30);
/// The same interval while this host is shutting down.
const ASK_LEAVING: Duration = Duration::from_secs(1);
/// Maximum number of copies that one question to an owner lists.
const ASKED: usize = 256;

/// Copies of other hosts' records, kept until their owners release them or are gone.
#[derive(Debug, Default)]
pub(crate) struct Vault {
    owners: BTreeMap<Incarnation, Owner>,
    len: usize,
    outcome_bytes: usize,
}

#[derive(Debug, Default)]
struct Owner {
    /// All serials below this are released, even if their copies arrive later.
    below: Serial,
    /// The highest serial that was stored when the owner was last asked.
    old: Serial,
    records: BTreeMap<Serial, Packed>,
}

impl Vault {
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
        cx: &mut Cx,
        from: Incarnation,
        batch: u64,
        records: Vec<Record>,
    ) {
        let room = cx.shared.tuning.held_copies.saturating_sub(self.len);
        if records.len() > room || cx.shared.draining {
            cx.send(from, Message::Full { batch });
            return;
        }
        let left = cx.shared.tuning.outcome_total;
        let left = left.saturating_sub(self.outcome_bytes);
        self.restore(cx, from, bounded(records, left));
        cx.send(from, Message::Copied { batch });
    }

    /// Stores records of `owner`, except those it has released.
    pub(crate) fn restore(&mut self, cx: &mut Cx, owner: Incarnation, records: Vec<Record>) {
        if records.is_empty() {
            return;
        }
        cx.arm(ASK_INTERVAL, Timer::Ask);
        let owner = self.owners.entry(owner).or_default();
        for record in records {
            if record.serial < owner.below {
                continue;
            }
            self.outcome_bytes += record.outcome_bytes();
            match owner.records.insert(record.serial, Packed::new(&record)) {
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
    pub(crate) fn prune(&mut self, lives: impl Fn(Incarnation) -> bool) {
        self.owners
            .retain(|&it, owner| lives(it) || !owner.records.is_empty());
    }

    /// Asks the live owners about old copies. A release may have been lost, or the owner may have
    /// taken this host for dead and copied its records to another one.
    pub(crate) fn ask(&mut self, cx: &mut Cx, peers: &Peers) {
        if self.is_empty() {
            return;
        }
        let interval = if cx.shared.draining {
            ASK_LEAVING
        } else {
            ASK_INTERVAL
        };
        cx.arm(interval, Timer::Ask);
        for (&to, owner) in &mut self.owners {
            let old = owner.records.range(..=owner.old).take(ASKED);
            let serials: Vec<Serial> = old.map(|(&serial, _)| serial).collect();
            let last = owner.records.last_key_value();
            owner.old = last.map_or(owner.old, |(&serial, _)| serial);
            if !serials.is_empty() && peers.is_live(to) {
                cx.send(to, Message::Holds { serials });
            }
        }
    }

    /// Removes and returns all copies of `owner`.
    pub(crate) fn take(&mut self, owner: Incarnation) -> Vec<Record> {
        let Some(owner) = self.owners.remove(&owner) else {
            return Vec::new();
        };
        let records: Vec<_> = owner.records.values().map(Packed::unpack).collect();
        self.len -= records.len();
        self.outcome_bytes -= records.iter().map(Record::outcome_bytes).sum::<usize>();
        records
    }
}

/// Drops the stored responses that don't fit into `left` bytes. The charges stay.
fn bounded(mut records: Vec<Record>, mut left: usize) -> Vec<Record> {
    for record in &mut records {
        if record.outcome_bytes() > left {
            record.drop_outcome();
        }
        left -= record.outcome_bytes();
    }
    records
}
