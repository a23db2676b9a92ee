//! Copies of this host's records on other hosts.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use kernel::Incarnation;

use crate::context::Context;
use crate::peers::Peers;
use crate::pending::{PendingRecords, release};
use crate::timers::Timer;
use crate::{Durability, Message, Serial};

/// Maximum number of records in one copy message.
const MAX_COPY_RECORDS: usize = 128;
/// Time for which a partner that refused a copy or didn't confirm it is avoided.
const AVOID_DURATION: Duration = Duration::from_secs(5);
/// Number of copies that a record needs when this host shuts down while the table is unavailable.
const HANDOVER_COPIES: usize = 2;

/// A copy message that isn't confirmed yet.
#[derive(Debug)]
pub(super) struct CopyInFlight {
    to: Incarnation,
    serials: Vec<Serial>,
}

impl PendingRecords {
    /// Sends copies of records that need one. Returns `true` if a record has no copy and there is
    /// no host to copy it to.
    ///
    /// Records are grouped: while `copy_window` messages to a partner are unconfirmed, further
    /// records wait and are sent together after the next confirmation. Below that limit a record is
    /// sent at once.
    pub(crate) fn send_copies(&mut self, cx: &mut Context, peers: &Peers) -> bool {
        while let Some(serial) = self.next_uncopied(cx) {
            let except = self.by_serial[&serial].holders();
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
    fn next_uncopied(&mut self, cx: &Context) -> Option<Serial> {
        while let Some(&serial) = self.uncopied.front() {
            let copies_needed = copies_needed(cx);
            if self
                .by_serial
                .get(&serial)
                .is_some_and(|record| record.confirmed() < copies_needed)
            {
                return Some(serial);
            }
            self.uncopied.pop_front();
        }
        None
    }

    fn copy_to(&mut self, cx: &mut Context, to: Incarnation, except: &[Incarnation]) {
        let mut serials = Vec::new();
        let mut records = Vec::new();
        while serials.len() < MAX_COPY_RECORDS {
            let Some(serial) = self.next_uncopied(cx) else {
                break;
            };
            let Some(record) = self.by_serial.get_mut(&serial) else {
                break;
            };
            if record.holders() != except {
                break;
            }
            self.uncopied.pop_front();
            record.add_receiver(to);
            records.push(record.encoded.decode());
            serials.push(serial);
        }
        let copy_id = self.next_copy_id;
        self.next_copy_id += 1;
        cx.arm(cx.shared.tuning.copy_timeout, Timer::CopyTimeout(copy_id));
        self.copies.insert(copy_id, CopyInFlight { to, serials });
        cx.send(to, Message::Copy { copy_id, records });
    }

    /// Handles a confirmation: the records are safe, so their responses are released.
    pub(crate) fn confirm(
        &mut self,
        cx: &mut Context,
        peers: &Peers,
        from: Incarnation,
        copy_id: u64,
    ) {
        if self.copies.get(&copy_id).is_none_or(|it| it.to != from) {
            return;
        }
        let Some(copy) = self.copies.remove(&copy_id) else {
            return;
        };
        cx.shared.timers.disarm(Timer::CopyTimeout(copy_id));
        let durability = if peers.data_centre(from) == Some(&cx.shared.data_centre) {
            Durability::TwoHosts
        } else {
            Durability::TwoDataCentres
        };
        let copies_needed = copies_needed(cx);
        let mut deletable: BTreeMap<Incarnation, Vec<Serial>> = BTreeMap::new();
        for serial in copy.serials {
            let Some(record) = self.by_serial.get_mut(&serial) else {
                deletable.entry(from).or_default().push(serial);
                continue;
            };
            record.confirm(from);
            release(cx, record, durability);
            if record.confirmed() >= copies_needed {
                for holder in record.take_unconfirmed() {
                    deletable.entry(holder).or_default().push(serial);
                }
            }
        }
        for (holder, serials) in deletable {
            self.send_release(cx, holder, serials);
        }
    }

    /// Handles a copy that wasn't confirmed in time or was refused: its records are copied to
    /// another partner.
    pub(crate) fn retry_copy(&mut self, cx: &mut Context, peers: &mut Peers, copy_id: u64) {
        let Some(copy) = self.copies.remove(&copy_id) else {
            return;
        };
        cx.shared.counters.copy_retries += 1;
        peers.avoid(copy.to, cx.now + AVOID_DURATION);
        cx.arm(AVOID_DURATION, Timer::RetryPartner);
        for &serial in copy.serials.iter().rev() {
            self.uncopied.push_front(serial);
        }
    }

    /// Handles the refusal of a copy by its receiver.
    pub(crate) fn copy_refused(
        &mut self,
        cx: &mut Context,
        peers: &mut Peers,
        from: Incarnation,
        copy_id: u64,
    ) {
        if self.copies.get(&copy_id).is_some_and(|it| it.to == from) {
            cx.shared.timers.disarm(Timer::CopyTimeout(copy_id));
            self.retry_copy(cx, peers, copy_id);
        }
    }

    /// Tells a host that asks about its copies which of them it may delete.
    pub(crate) fn handle_copy_query(
        &mut self,
        cx: &mut Context,
        from: Incarnation,
        mut serials: Vec<Serial>,
    ) {
        let copies_needed = copies_needed(cx);
        serials.retain(|serial| match self.by_serial.get_mut(serial) {
            Some(record) if record.is_confirmed_by(from) || record.confirmed() < copies_needed => {
                record.add_receiver(from);
                false
            }
            _ => true,
        });
        self.send_release(cx, from, serials);
    }

    /// Queues new copies of records whose copies are on hosts that are gone or shutting down.
    pub(crate) fn replace_lost_copies(&mut self, cx: &mut Context, peers: &Peers) {
        let lost: Vec<u64> = self
            .copies
            .iter()
            .filter(|(_, it)| !peers.accepts_copies(it.to))
            .map(|(&copy_id, _)| copy_id)
            .collect();
        for copy_id in lost {
            cx.shared.timers.disarm(Timer::CopyTimeout(copy_id));
            self.copies.remove(&copy_id);
        }
        self.requeue(cx, |holder| peers.accepts_copies(holder));
    }

    /// Forgets all copies, because the partners hold them under an earlier incarnation. Queues new
    /// ones.
    pub(crate) fn forget_copies(&mut self, cx: &mut Context) {
        for (copy_id, _) in self.copies.drain() {
            cx.shared.timers.disarm(Timer::CopyTimeout(copy_id));
        }
        self.requeue(cx, |_| false);
    }

    /// Keeps only copies on hosts for which `keeps` holds, and queues the records that need another
    /// copy, by ascending serial.
    pub(crate) fn requeue(&mut self, cx: &Context, keeps: impl Fn(Incarnation) -> bool) {
        let copies_needed = copies_needed(cx);
        self.uncopied.clear();
        let in_flight: BTreeSet<Serial> = self
            .copies
            .values()
            .flat_map(|it| it.serials.iter().copied())
            .collect();
        for (&serial, record) in &mut self.by_serial {
            record.retain_confirmations(&keeps);
            if record.confirmed() < copies_needed && !in_flight.contains(&serial) {
                self.uncopied.push_back(serial);
            }
        }
    }

    /// Whether the process may exit with unwritten records: each of them has as many copies as
    /// there are hosts for, up to `HANDOVER_COPIES`.
    pub(crate) fn is_handed_over(&self, peers: &Peers) -> bool {
        let copies_needed = HANDOVER_COPIES.min(peers.accepting_count());
        self.by_serial.is_empty()
            || copies_needed > 0
                && self
                    .by_serial
                    .values()
                    .all(|record| record.confirmed() >= copies_needed)
    }
}

/// The number of copies that a record needs on other hosts.
fn copies_needed(cx: &Context) -> usize {
    if cx.shared.draining && cx.table_unavailable() {
        HANDOVER_COPIES
    } else {
        1
    }
}
