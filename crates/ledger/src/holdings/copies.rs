//! Copies of this host's records on partners in other data centres.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use kernel::Incarnation;

use crate::cx::Cx;
use crate::holdings::{Holdings, release};
use crate::peers::Peers;
use crate::timers::Timer;
use crate::{Message, Safety, Serial};

/// How many records one copy carries at most.
const COPY_RECORDS: usize = 128;
/// For how long a partner that didn't confirm is passed over.
const AVOIDED: Duration = Duration::from_secs(5);
/// How many partners a record is handed to when this host leaves while the table is out.
const HANDED_OVER: usize = 2;

/// A copy that isn't confirmed yet.
#[derive(Debug)]
pub(super) struct Copying {
    to: Incarnation,
    serials: Vec<Serial>,
}

impl Holdings {
    /// Sends copies of what has none yet; tells whether there is nobody to send them to.
    ///
    /// Group commit: while a few copies are on their way, further records
    /// wait and go together with the next confirmation. Without load a record
    /// leaves at once.
    pub(crate) fn copy(&mut self, cx: &mut Cx, peers: &Peers) -> bool {
        while let Some(serial) = self.next_uncopied(cx) {
            let except = self.held[&serial].holders();
            let me = cx.shared.me;
            let Some(to) = peers.partner(cx.now, me, &cx.shared.data_centre, &except) else {
                return except.is_empty();
            };
            let outstanding = self.copies.values().filter(|it| it.to == to).count();
            if outstanding >= cx.shared.tuning.copy_window {
                return false;
            }
            self.copy_to(cx, to, &except);
        }
        false
    }

    /// Drops from the queue what needs no copy any more.
    fn next_uncopied(&mut self, cx: &Cx) -> Option<Serial> {
        while let Some(&serial) = self.uncopied.front() {
            let wanted = wanted(cx);
            if self
                .held
                .get(&serial)
                .is_some_and(|held| held.confirmed() < wanted)
            {
                return Some(serial);
            }
            self.uncopied.pop_front();
        }
        None
    }

    fn copy_to(&mut self, cx: &mut Cx, to: Incarnation, except: &[Incarnation]) {
        let mut serials = Vec::new();
        let mut records = Vec::new();
        while serials.len() < COPY_RECORDS {
            let Some(serial) = self.next_uncopied(cx) else {
                break;
            };
            let Some(held) = self.held.get_mut(&serial) else {
                break;
            };
            if held.holders() != except {
                break;
            }
            self.uncopied.pop_front();
            held.sent(to);
            records.push(held.record.unpack());
            serials.push(serial);
        }
        let batch = self.next_copy;
        self.next_copy += 1;
        cx.arm(cx.shared.tuning.copy_timeout, Timer::Copy(batch));
        self.copies.insert(batch, Copying { to, serials });
        cx.send(to, Message::Copy { batch, records });
    }

    /// A partner holds the records of a copy: the ends of their answers may go out.
    pub(crate) fn confirm(&mut self, cx: &mut Cx, peers: &Peers, from: Incarnation, batch: u64) {
        if self.copies.get(&batch).is_none_or(|it| it.to != from) {
            return;
        }
        let Some(copying) = self.copies.remove(&batch) else {
            return;
        };
        cx.shared.timers.disarm(Timer::Copy(batch));
        let safety = if peers.data_centre(from) == Some(&cx.shared.data_centre) {
            Safety::TwoHosts
        } else {
            Safety::TwoDataCentres
        };
        let wanted = wanted(cx);
        let mut needless: BTreeMap<Incarnation, Vec<Serial>> = BTreeMap::new();
        for serial in copying.serials {
            let Some(held) = self.held.get_mut(&serial) else {
                needless.entry(from).or_default().push(serial);
                continue;
            };
            held.confirm(from);
            release(cx, held, safety);
            if held.confirmed() >= wanted {
                for holder in held.forsake() {
                    needless.entry(holder).or_default().push(serial);
                }
            }
        }
        for (holder, serials) in needless {
            self.send_release(cx, holder, serials);
        }
    }

    /// A copy wasn't confirmed in time or was refused: another partner gets it.
    pub(crate) fn reject(&mut self, cx: &mut Cx, peers: &mut Peers, batch: u64) {
        let Some(copying) = self.copies.remove(&batch) else {
            return;
        };
        cx.shared.counters.copy_repeats += 1;
        peers.avoid(copying.to, cx.now + AVOIDED);
        cx.arm(AVOIDED, Timer::Partners);
        for &serial in copying.serials.iter().rev() {
            self.uncopied.push_front(serial);
        }
    }

    /// A copy was refused by the host that it went to.
    pub(crate) fn refuse(&mut self, cx: &mut Cx, peers: &mut Peers, from: Incarnation, batch: u64) {
        if self.copies.get(&batch).is_some_and(|it| it.to == from) {
            cx.shared.timers.disarm(Timer::Copy(batch));
            self.reject(cx, peers, batch);
        }
    }

    /// Answers a host that asks which of these records it still has to hold.
    pub(crate) fn held_by(&mut self, cx: &mut Cx, from: Incarnation, mut serials: Vec<Serial>) {
        let wanted = wanted(cx);
        serials.retain(|serial| match self.held.get_mut(serial) {
            Some(held) if held.counts_on(from) || held.confirmed() < wanted => {
                held.sent(from);
                false
            }
            _ => true,
        });
        self.send_release(cx, from, serials);
    }

    /// Copies anew what was held only by hosts that are gone or leaving.
    pub(crate) fn review(&mut self, cx: &mut Cx, peers: &Peers) {
        let lost: Vec<u64> = self
            .copies
            .iter()
            .filter(|(_, it)| !peers.stays(it.to))
            .map(|(&batch, _)| batch)
            .collect();
        for batch in lost {
            cx.shared.timers.disarm(Timer::Copy(batch));
            self.copies.remove(&batch);
        }
        self.requeue(cx, |holder| peers.stays(holder));
    }

    /// Forgets every copy: the partners know them under an earlier incarnation.
    pub(crate) fn forget_copies(&mut self, cx: &mut Cx) {
        for (batch, _) in self.copies.drain() {
            cx.shared.timers.disarm(Timer::Copy(batch));
        }
        self.requeue(cx, |_| false);
    }

    /// Queues what still wants a copy, oldest first.
    pub(crate) fn requeue(&mut self, cx: &Cx, keeps: impl Fn(Incarnation) -> bool) {
        let wanted = wanted(cx);
        self.uncopied.clear();
        let on_their_way: BTreeSet<Serial> = self
            .copies
            .values()
            .flat_map(|it| it.serials.iter().copied())
            .collect();
        for (&serial, held) in &mut self.held {
            held.lose(&keeps);
            if held.confirmed() < wanted && !on_their_way.contains(&serial) {
                self.uncopied.push_back(serial);
            }
        }
    }

    /// Whether this process may end while it holds what it holds: everything
    /// is with as many other hosts as can be had.
    pub(crate) fn is_handed_over(&self, peers: &Peers) -> bool {
        let wanted = HANDED_OVER.min(peers.staying());
        self.held.is_empty()
            || wanted > 0 && self.held.values().all(|held| held.confirmed() >= wanted)
    }
}

/// How many copies a record should have beside this host's own.
fn wanted(cx: &Cx) -> usize {
    if cx.shared.draining && cx.table_out() {
        HANDED_OVER
    } else {
        1
    }
}
