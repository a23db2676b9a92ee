//! Adoption of records of work that ran on another host under this host's tickets.

use kernel::Incarnation;

use crate::book::{Entry, State};
use crate::cx::Cx;
use crate::holdings::{Holdings, Lane, Waiting};
use crate::intake::{Intake, SWEEP_INTERVAL};
use crate::timers::Timer;
use crate::{Fingerprint, Message, Record, Serial};

/// The result of offering a record to its home.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Adoption {
    /// The record was taken over, or its key had been billed before.
    Taken,
    /// There is no room. The holder keeps the record and offers it again.
    Later(Box<Record>),
}

impl Intake {
    /// Adopts records of idempotent work that ran at `from` under tickets of this incarnation. Each
    /// key is billed once.
    pub(crate) fn adopt(
        &mut self,
        cx: &mut Cx,
        holdings: &mut Holdings,
        from: Incarnation,
        records: Vec<Record>,
    ) {
        for record in records {
            // A fenced or former incarnation decides about no key. The holder settles its records.
            if cx.shared.decides(record.key.home) {
                let adopter = Waiting::Adopter(from, record.serial);
                // Without room nothing is confirmed, and `from` offers the record again.
                let _ = self.adopt_one(cx, holdings, vec![adopter], record);
            }
        }
    }

    /// Adopts a record of this incarnation's tickets from the copies of a host that is gone.
    ///
    /// It must be remembered by key and not settled by itself, because the lost host, or another
    /// host that inherits from it, may offer the same key again.
    pub(crate) fn inherit(
        &mut self,
        cx: &mut Cx,
        holdings: &mut Holdings,
        record: Record,
    ) -> Adoption {
        self.adopt_one(cx, holdings, Vec::new(), record)
    }

    fn adopt_one(
        &mut self,
        cx: &mut Cx,
        holdings: &mut Holdings,
        adopter: Vec<Waiting>,
        record: Record,
    ) -> Adoption {
        if record.is_homes_own() {
            // This process made the record, so it already has it or has written it to the table.
            confirm(cx, adopter);
            return Adoption::Taken;
        }
        if holdings.len() >= cx.shared.tuning.held_records {
            return Adoption::Later(Box::new(record));
        }
        let found = self.book.find(&record.key);
        if let Some(it) = found.and_then(|entry| self.book.get_mut(entry)) {
            it.sent = it.sent.max(1);
            match it.billed {
                Some(serial) => wait(cx, holdings, serial, adopter),
                None => it.billed = Some(holdings.hold(cx, record, Lane::Batch, adopter)),
            }
            return Adoption::Taken;
        }
        if !self.book.is_whole_since(record.floor) {
            search(cx, holdings, record, adopter);
            return Adoption::Taken;
        }
        if self.is_full(cx) {
            // Without an entry for the key, a second record of the same key would be billed as
            // well.
            return Adoption::Later(Box::new(record));
        }
        // No key billed since the ticket was minted has been forgotten, so this key hasn't been
        // billed.
        let mut entry = Entry::new(record.key.clone(), Fingerprint(0), State::Free);
        entry.sent = 1;
        let serial = holdings.hold(cx, record, Lane::Batch, adopter);
        entry.billed = Some(serial);
        self.book.add(entry, cx.now + cx.shared.tuning.key_linger);
        cx.arm(SWEEP_INTERVAL, Timer::Sweep);
        Adoption::Taken
    }
}

/// Settles a record by itself: its key may have been billed and forgotten, so this host's own
/// batches must be searched for it.
fn search(cx: &mut Cx, holdings: &mut Holdings, record: Record, adopter: Vec<Waiting>) {
    if let Some(serial) = holdings.find_single(&record.key) {
        return wait(cx, holdings, serial, adopter);
    }
    let lane = Lane::Single(cx.shared.me);
    holdings.hold(cx, record, lane, adopter);
}

fn wait(cx: &mut Cx, holdings: &mut Holdings, serial: Serial, adopter: Vec<Waiting>) {
    for waiting in adopter {
        if let Err(waiting) = holdings.wait(serial, waiting) {
            confirm(cx, vec![waiting]);
        }
    }
}

/// Confirms the adoption of a record that doesn't have to wait for a copy.
fn confirm(cx: &mut Cx, adopter: Vec<Waiting>) {
    for waiting in adopter {
        if let Waiting::Adopter(to, serial) = waiting {
            let serials = vec![serial];
            cx.send(to, Message::Adopted { serials });
        }
    }
}
