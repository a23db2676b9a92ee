//! Adoption of records of work that ran on another host under this host's tickets.

use kernel::Incarnation;

use crate::admission::{Admission, EXPIRY_INTERVAL};
use crate::context::Context;
use crate::pending::{PendingRecords, Waiter, WritePath};
use crate::registry::{Entry, State};
use crate::timers::Timer;
use crate::{Fingerprint, Message, Record, Serial};

/// The result of offering a record to its home.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum AdoptionResult {
    /// The record was taken over, or its key had been billed before.
    Accepted,
    /// There is no room. Whoever has the record keeps it and tries again later.
    NoRoom(Box<Record>),
}

impl Admission {
    /// Adopts records that `from` offers, of idempotent work that ran on another host under tickets
    /// of this incarnation. Each key is billed once.
    pub(crate) fn adopt(
        &mut self,
        cx: &mut Context,
        pending: &mut PendingRecords,
        from: Incarnation,
        records: Vec<Record>,
    ) {
        for record in records {
            // A fenced or former incarnation decides about no key. The holder settles its records.
            if cx.shared.decides(record.key.home) {
                let offerer = Waiter::Offerer(from, record.serial);
                // Without room nothing is confirmed, and `from` offers the record again.
                let _ = self.adopt_one(cx, pending, vec![offerer], record);
            }
        }
    }

    /// Adopts a record of this incarnation's tickets from the copies of a host that is gone.
    ///
    /// It is adopted like an offered record, because the lost host, or another host that takes over
    /// its copies, may offer the same key.
    pub(crate) fn adopt_inherited(
        &mut self,
        cx: &mut Context,
        pending: &mut PendingRecords,
        record: Record,
    ) -> AdoptionResult {
        self.adopt_one(cx, pending, Vec::new(), record)
    }

    fn adopt_one(
        &mut self,
        cx: &mut Context,
        pending: &mut PendingRecords,
        offerer: Vec<Waiter>,
        record: Record,
    ) -> AdoptionResult {
        if record.is_homes_own() {
            // This process made the record, so it already has it or has written it to the table.
            confirm(cx, offerer);
            return AdoptionResult::Accepted;
        }
        if pending.len() >= cx.shared.tuning.held_records {
            return AdoptionResult::NoRoom(Box::new(record));
        }
        let found = self.registry.find(&record.key);
        if let Some(it) = found.and_then(|entry| self.registry.get_mut(entry)) {
            it.sent = it.sent.max(1);
            match it.billed {
                Some(serial) => wait(cx, pending, serial, offerer),
                None => it.billed = Some(pending.add(cx, record, WritePath::Batch, offerer)),
            }
            return AdoptionResult::Accepted;
        }
        if !self.registry.remembers_all_billed_since(record.floor) {
            search(cx, pending, record, offerer);
            return AdoptionResult::Accepted;
        }
        if self.is_full(cx) {
            // Without an entry for the key, a second record of the same key would be billed as
            // well.
            return AdoptionResult::NoRoom(Box::new(record));
        }
        // No key billed since the ticket was minted has been forgotten, so this key hasn't been
        // billed.
        let mut entry = Entry::new(record.key.clone(), Fingerprint(0), State::Runnable);
        entry.sent = 1;
        let serial = pending.add(cx, record, WritePath::Batch, offerer);
        entry.billed = Some(serial);
        self.registry
            .add(entry, cx.now + cx.shared.tuning.key_retention);
        cx.arm(EXPIRY_INTERVAL, Timer::ExpireKeys);
        AdoptionResult::Accepted
    }
}

/// Settles a record by itself: its key may have been billed and forgotten, so this host's own
/// batches must be searched for it.
fn search(cx: &mut Context, pending: &mut PendingRecords, record: Record, offerer: Vec<Waiter>) {
    if let Some(serial) = pending.find_single(&record.key) {
        return wait(cx, pending, serial, offerer);
    }
    let write_path = WritePath::Single(cx.shared.me);
    pending.add(cx, record, write_path, offerer);
}

fn wait(cx: &mut Context, pending: &mut PendingRecords, serial: Serial, offerer: Vec<Waiter>) {
    for waiting in offerer {
        if let Err(waiting) = pending.wait(serial, waiting) {
            confirm(cx, vec![waiting]);
        }
    }
}

/// Confirms the adoption of a record that doesn't have to wait for a copy.
fn confirm(cx: &mut Context, offerer: Vec<Waiter>) {
    for waiting in offerer {
        if let Waiter::Offerer(to, serial) = waiting {
            let serials = vec![serial];
            cx.send(to, Message::Adopted { serials });
        }
    }
}
