//! Records that are held for other hosts.

use std::collections::BTreeMap;
use std::time::Duration;

use kernel::Incarnation;

use crate::cx::Cx;
use crate::packed::Packed;
use crate::peers::Peers;
use crate::timers::Timer;
use crate::{Message, Record, Serial};

/// How long a copy is held before its owner is asked whether it is needed.
const ASK_INTERVAL: Duration = Duration::from_secs(30);
/// The same, once this host only waits for that.
const ASK_LEAVING: Duration = Duration::from_secs(1);
/// How many copies an owner is asked about at a time.
const ASKED: usize = 256;

/// Records that are held for other hosts, until these release them or are gone.
#[derive(Debug, Default)]
pub(crate) struct Vault {
    owners: BTreeMap<Incarnation, Owner>,
    len: usize,
    outcome_bytes: usize,
}

#[derive(Debug, Default)]
struct Owner {
    /// Everything below is released, also what arrives late.
    below: Serial,
    /// What was held when the owner was last asked.
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

    /// Takes copies of another host's records, or refuses them when there is no room.
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

    /// Holds records for `owner`, other than what it has released.
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

    /// Forgets owners that are gone and have left nothing.
    pub(crate) fn prune(&mut self, lives: impl Fn(Incarnation) -> bool) {
        self.owners
            .retain(|&it, owner| lives(it) || !owner.records.is_empty());
    }

    /// Asks the owners that are alive about copies that have been held for
    /// long. A release may have been lost, or the owner may have taken this
    /// host for dead and copied to another one.
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

    /// Takes out everything that is held for `owner`.
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

/// Drops the answers that don't fit into `left` bytes; what is billed stays.
fn bounded(mut records: Vec<Record>, mut left: usize) -> Vec<Record> {
    for record in &mut records {
        if record.outcome_bytes() > left {
            record.drop_outcome();
        }
        left -= record.outcome_bytes();
    }
    records
}
