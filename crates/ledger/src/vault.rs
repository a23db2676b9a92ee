//! Records that are held for other hosts.

use std::collections::BTreeMap;

use kernel::Incarnation;

use crate::cx::Cx;
use crate::{Message, Record, Serial};

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
    records: BTreeMap<Serial, Record>,
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
        let total = cx.shared.tuning.outcome_total;
        let owner = self.owners.entry(from).or_default();
        for mut record in records {
            if record.serial < owner.below {
                continue;
            }
            if self.outcome_bytes + record.outcome_bytes() > total {
                record.drop_outcome();
            }
            self.outcome_bytes += record.outcome_bytes();
            match owner.records.insert(record.serial, record) {
                Some(before) => self.outcome_bytes -= before.outcome_bytes(),
                None => self.len += 1,
            }
        }
        cx.send(from, Message::Copied { batch });
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

    /// Takes out everything that is held for `owner`.
    pub(crate) fn take(&mut self, owner: Incarnation) -> Vec<Record> {
        let Some(owner) = self.owners.remove(&owner) else {
            return Vec::new();
        };
        let records: Vec<_> = owner.records.into_values().collect();
        self.len -= records.len();
        self.outcome_bytes -= records.iter().map(Record::outcome_bytes).sum::<usize>();
        records
    }
}
