//! Records of work that ran elsewhere under this host's tickets.

use kernel::Incarnation;

use crate::book::{Entry, State};
use crate::cx::Cx;
use crate::holdings::{Holdings, Lane, Waiting};
use crate::intake::{Intake, SWEEP_INTERVAL};
use crate::timers::Timer;
use crate::{Fingerprint, Message, Record};

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
            let decides =
                record.key.home == cx.shared.me && !cx.shared.fenced.contains(&cx.shared.me);
            if decides && holdings.len() < cx.shared.tuning.held_records {
                self.adopt_one(cx, holdings, from, record);
            }
        }
    }

    fn adopt_one(
        &mut self,
        cx: &mut Cx,
        holdings: &mut Holdings,
        from: Incarnation,
        record: Record,
    ) {
        let adopter = Waiting::Adopter(from, record.serial);
        let found = self.book.find(&record.key);
        if let Some(it) = found.and_then(|entry| self.book.get_mut(entry)) {
            it.sent = it.sent.max(1);
            match it.billed {
                Some(serial) => confirm(cx, holdings.wait(serial, adopter).err().as_ref()),
                None => it.billed = Some(holdings.hold(cx, record, Lane::Batch, vec![adopter])),
            }
            return;
        }
        if !self.book.is_whole_since(record.floor) {
            return search(cx, holdings, record, adopter);
        }
        if self.is_full(cx) {
            // It is offered again. Once it were billed without being
            // remembered, a second record of the key could be billed as well.
            return;
        }
        // Nothing that this host billed since the ticket was minted has been
        // forgotten, so this key wasn't billed.
        let mut entry = Entry::new(record.key.clone(), Fingerprint(0), State::Free);
        entry.sent = 1;
        let serial = holdings.hold(cx, record, Lane::Batch, vec![adopter]);
        entry.billed = Some(serial);
        self.book.add(entry, cx.now + cx.shared.tuning.key_linger);
        cx.arm(SWEEP_INTERVAL, Timer::Sweep);
    }
}

/// Settles a record by itself: its key may have been billed and forgotten, so
/// this host's own batches are searched for it.
fn search(cx: &mut Cx, holdings: &mut Holdings, record: Record, adopter: Waiting) {
    if let Some(serial) = holdings.find_single(&record.key) {
        return confirm(cx, holdings.wait(serial, adopter).err().as_ref());
    }
    let lane = Lane::Single(cx.shared.me);
    holdings.hold(cx, record, lane, vec![adopter]);
}

/// Answers an adopter whose record doesn't have to wait.
fn confirm(cx: &mut Cx, waiting: Option<&Waiting>) {
    if let Some(&Waiting::Adopter(to, serial)) = waiting {
        cx.send(
            to,
            Message::Adopted {
                serials: vec![serial],
            },
        );
    }
}
