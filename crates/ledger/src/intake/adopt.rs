//! Records of work that ran elsewhere under this host's tickets.

use kernel::Incarnation;

use crate::book::{Entry, State};
use crate::cx::Cx;
use crate::holdings::{Holdings, Lane, Waiting};
use crate::intake::{Intake, SWEEP_INTERVAL};
use crate::timers::Timer;
use crate::{Fingerprint, Message, Record, Serial};

/// Whether a record that belongs to this host was taken over.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Adoption {
    /// It was, or it had been billed before.
    Taken,
    /// There is no room: whoever has it keeps it and tries again.
    Later(Box<Record>),
}

impl Intake {
    /// Takes over records of idempotent work that ran at `from` under tickets
    /// of this incarnation, each once a key.
    pub(crate) fn adopt(
        &mut self,
        cx: &mut Cx,
        holdings: &mut Holdings,
        from: Incarnation,
        records: Vec<Record>,
    ) {
        for record in records {
            // A fenced or former incarnation decides nothing any more; its
            // records are settled by whoever holds them.
            if cx.shared.decides(record.key.home) {
                let adopter = Waiting::Adopter(from, record.serial);
                // Where there is no room it is offered again.
                let _ = self.adopt_one(cx, holdings, vec![adopter], record);
            }
        }
    }

    /// Takes over a record of this incarnation's that a host held which is gone.
    ///
    /// It isn't settled by itself like others: the host that is gone, or who
    /// inherits from it as well, may offer the same key again.
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
            // It is here already, or in the table.
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
            // Once it were billed without being remembered, a second record of
            // the key could be billed as well.
            return Adoption::Later(Box::new(record));
        }
        // Nothing that this host billed since the ticket was minted has been
        // forgotten, so this key wasn't billed.
        let mut entry = Entry::new(record.key.clone(), Fingerprint(0), State::Free);
        entry.sent = 1;
        let serial = holdings.hold(cx, record, Lane::Batch, adopter);
        entry.billed = Some(serial);
        self.book.add(entry, cx.now + cx.shared.tuning.key_linger);
        cx.arm(SWEEP_INTERVAL, Timer::Sweep);
        Adoption::Taken
    }
}

/// Settles a record by itself: its key may have been billed and forgotten, so
/// this host's own batches are searched for it.
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

/// Answers an adopter whose record doesn't have to wait.
fn confirm(cx: &mut Cx, adopter: Vec<Waiting>) {
    for waiting in adopter {
        if let Waiting::Adopter(to, serial) = waiting {
            let serials = vec![serial];
            cx.send(to, Message::Adopted { serials });
        }
    }
}
