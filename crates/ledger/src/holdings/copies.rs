//! Copies of this host's records on other hosts.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use kernel::Incarnation;

use crate::cx::Cx;
use crate::holdings::{Holdings, release};
use crate::peers::Peers;
use crate::timers::Timer;
use crate::{Message, Safety, Serial};

/// Maximum number of records in one copy message.
const COPY_RECORDS: usize = 128;
/// Time for which a partner that didn't confirm a copy is avoided.
const AVOIDED: Duration = Duration::from_secs(5);
/// Number of copies that a record needs when this host shuts down while the table is unavailable.
const HANDED_OVER: usize = 2;

/// A copy message that isn't confirmed yet.
#[derive(Debug)]
pub(super) struct Copying {
    to: Incarnation,
    serials: Vec<Serial>,
}

impl Holdings {
    /// Sends copies of records that need one. Returns `true` if a record has no copy and there is
    /// no host to copy it to.
    ///
    /// Records are grouped: while `copy_window` messages to a partner are unconfirmed, further
    /// records wait and are sent together after the next confirmation. Below that limit a record is
    /// sent at once.
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

    /// Returns the next record that needs a copy, and removes those before it that don't.
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

    /// Handles a confirmation: the records are safe, so their responses are released.
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

    /// Handles a copy that wasn't confirmed in time or was refused: its records are copied to
    /// another partner.
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

    /// Handles the refusal of a copy by its receiver.
    pub(crate) fn refuse(&mut self, cx: &mut Cx, peers: &mut Peers, from: Incarnation, batch: u64) {
        if self.copies.get(&batch).is_some_and(|it| it.to == from) {
            cx.shared.timers.disarm(Timer::Copy(batch));
            self.reject(cx, peers, batch);
        }
    }

    /// Tells a host that asks about its copies which of them it may delete.
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

    /// Queues new copies of records whose copies are on hosts that are gone or shutting down.
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

    /// Forgets all copies, because the partners hold them under an earlier incarnation. Queues new
    /// ones.
    pub(crate) fn forget_copies(&mut self, cx: &mut Cx) {
        for (batch, _) in self.copies.drain() {
            cx.shared.timers.disarm(Timer::Copy(batch));
        }
        self.requeue(cx, |_| false);
    }

    /// Keeps only copies on hosts for which `keeps` holds, and queues the records that need another
    /// copy, by ascending serial.
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

    /// Whether the process may exit with unwritten records: each of them has as many copies as
    /// there are hosts for, up to `HANDED_OVER`.
    pub(crate) fn is_handed_over(&self, peers: &Peers) -> bool {
        let wanted = HANDED_OVER.min(peers.staying());
        self.held.is_empty()
            || wanted > 0 && self.held.values().all(|held| held.confirmed() >= wanted)
    }
}

/// The number of copies that a record needs on other hosts.
fn wanted(cx: &Cx) -> usize {
    if cx.shared.draining && cx.table_out() {
        HANDED_OVER
    } else {
        1
    }
}
