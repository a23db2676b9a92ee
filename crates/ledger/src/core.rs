//! The components of the ledger, and the routing of events to them.

use kernel::Incarnation;

use crate::admission::{Admission, AdoptionResult, View};
use crate::batch_writer::{BatchWriter, FenceStatus};
use crate::context::{Context, Purpose, Shared};
use crate::peers::Peers;
use crate::pending::{PendingRecords, WritePath};
use crate::received_copies::ReceivedCopies;
use crate::settler::{self, Settler};
use crate::status::Status;
use crate::table::{Op, Page, Row, Unavailable, Written};
use crate::timers::Timer;
use crate::{Action, Event, Message, Peer};

/// The components of the ledger.
#[derive(Debug, Default)]
pub(crate) struct Core {
    pub(crate) peers: Peers,
    pub(crate) admission: Admission,
    pub(crate) pending: PendingRecords,
    received_copies: ReceivedCopies,
    batch_writer: BatchWriter,
    settler: Settler,
    drained: bool,
}

impl Core {
    pub(crate) fn handle(&mut self, cx: &mut Context, event: Event) {
        while let Some(timer) = cx.shared.timers.take_due(cx.now) {
            self.handle_timer(cx, timer);
        }
        self.dispatch(cx, event);
        self.advance(cx);
        if let Some(at) = cx.shared.timers.wake(cx.now) {
            cx.push(Action::Wake { at });
        }
    }

    pub(crate) fn status(&self, shared: &Shared) -> Status {
        Status {
            me: shared.me,
            held: self.pending.len(),
            held_bound: shared.tuning.held_records,
            copies: self.received_copies.len(),
            keys: self.admission.registry().len(),
            outcome_bytes: self.admission.registry().outcome_bytes(),
            counters: shared.counters,
        }
    }

    fn dispatch(&mut self, cx: &mut Context, event: Event) {
        let mut view = View {
            peers: &self.peers,
            pending: &mut self.pending,
        };
        match event {
            Event::Arrive(arrival) => self.admission.arrive(cx, &mut view, arrival),
            Event::AttemptSending { request } => self.admission.attempt_sending(&request),
            Event::AttemptNotRun { request } => self.admission.attempt_not_run(&request),
            Event::Finished { request, end } => self.admission.finish(cx, &mut view, &request, end),
            Event::Cancelled { request } => self.admission.cancel(cx, &mut view, &request),
            Event::Forwarded { request, end } => self.admission.forwarded(cx, &request, end),
            Event::Hosts(peers) => self.update_hosts(cx, peers),
            Event::Received { from, message } => self.receive(cx, from, message),
            Event::Transacted { op, result } => self.written(cx, op, &result),
            Event::Read { op, result } => self.read(cx, op, result),
            Event::Scanned { op, result } => self.scanned(cx, op, result),
            Event::Drain => self.drain(cx),
            Event::Renew { me } => self.renew(cx, me),
            Event::Tick => {}
        }
    }

    fn handle_timer(&mut self, cx: &mut Context, timer: Timer) {
        match timer {
            Timer::RetryClaim(entry) => self.admission.retry_claim(cx, entry),
            Timer::CopyTimeout(copy_id) => self.pending.retry_copy(cx, &mut self.peers, copy_id),
            Timer::ReleaseTimeout(serial) => self.pending.release_on_timeout(cx, serial),
            Timer::Settle(home) => settler::reset_offers(&mut self.pending, home),
            Timer::OwnerGone(owner) => self.owner_gone(cx, owner),
            Timer::RetryClaimUpdates => self.admission.claim_updates.end_backoff(),
            Timer::QueryOwners => self.received_copies.query_owners(cx, &self.peers),
            Timer::ExpireKeys => self.admission.expire_keys(cx, &self.pending),
            // These only cause the call of `advance`, which finds the due work.
            Timer::Flush | Timer::RetryPartner => {}
        }
    }

    /// Starts all work that is due.
    fn advance(&mut self, cx: &mut Context) {
        let urgent = self.pending.send_copies(cx, &self.peers);
        self.batch_writer
            .advance(cx, &self.peers, &self.pending, urgent);
        self.settler
            .advance(cx, &mut self.peers, &mut self.pending, urgent);
        self.admission.claim_updates.advance(cx);
        if !self.drained && self.is_drained(cx) {
            self.drained = true;
            cx.push(Action::Drained);
        }
    }

    fn update_hosts(&mut self, cx: &mut Context, peers: Vec<Peer>) {
        self.peers.replace(cx.now, peers);
        self.return_inherited(cx);
        let owners: Vec<Incarnation> = self.received_copies.owners().collect();
        for owner in owners {
            self.watch_owner(cx, owner);
        }
        self.received_copies
            .prune(|owner| self.peers.is_live(owner));
        self.pending.replace_lost_copies(cx, &self.peers);
    }

    /// Arms the timer after which the copies of a missing owner are taken over, or disarms it if
    /// the owner is alive. A draining host takes them over at once.
    fn watch_owner(&mut self, cx: &mut Context, owner: Incarnation) {
        if self.peers.is_live(owner) {
            cx.shared.timers.disarm(Timer::OwnerGone(owner));
        } else if cx.shared.draining {
            self.take_over(cx, owner);
        } else {
            let at = self.peers.gone_since(cx.now, owner) + cx.shared.tuning.fence_after;
            cx.shared.timers.arm(at, Timer::OwnerGone(owner));
        }
    }

    fn owner_gone(&mut self, cx: &mut Context, owner: Incarnation) {
        let gone = self.peers.gone_since(cx.now, owner) + cx.shared.tuning.fence_after;
        if self.peers.is_live(owner) || cx.now < gone {
            self.watch_owner(cx, owner);
        } else {
            self.take_over(cx, owner);
        }
    }

    /// Takes over the records of an owner that is gone. Those of other homes are copied to another
    /// host and settled under the homes of their keys. Those about whose keys this process decides
    /// are adopted, or kept as copies without room.
    fn take_over(&mut self, cx: &mut Context, owner: Incarnation) {
        let mut rejected = Vec::new();
        for record in self.received_copies.take_owned(owner) {
            let home = record.key.home;
            if cx.shared.decides(home) {
                let adoption = self
                    .admission
                    .adopt_inherited(cx, &mut self.pending, record);
                if let AdoptionResult::NoRoom(record) = adoption {
                    rejected.push(*record);
                }
            } else {
                self.pending
                    .add(cx, record, WritePath::Single(home), Vec::new());
            }
        }
        if !rejected.is_empty() {
            let at = cx.retry_at();
            cx.shared.timers.arm(at, Timer::OwnerGone(owner));
            self.received_copies.store(cx, owner, rejected);
        }
        self.return_inherited(cx);
    }

    /// Returns inherited records to homes that are alive after all and weren't fenced. They become
    /// copies again.
    fn return_inherited(&mut self, cx: &mut Context) {
        for home in self.pending.homes() {
            if cx.shared.can_adopt(&self.peers, home) {
                let records = self.pending.take_inherited(cx, home);
                self.received_copies.store(cx, home, records);
            }
        }
    }

    fn receive(&mut self, cx: &mut Context, from: Incarnation, message: Message) {
        self.peers.record_contact(cx.now, from);
        match message {
            Message::Copy { copy_id, records } => {
                self.received_copies.copy(cx, from, copy_id, records);
                self.watch_owner(cx, from);
            }
            Message::Copied { copy_id } => self.pending.confirm(cx, &self.peers, from, copy_id),
            Message::CopyRefused { copy_id } => {
                self.pending
                    .copy_refused(cx, &mut self.peers, from, copy_id);
            }
            Message::Release { below, serials } => {
                self.received_copies.release(from, below, &serials);
            }
            Message::QueryCopies { serials } => self.pending.handle_copy_query(cx, from, serials),
            Message::Adopt { records } => {
                self.admission.adopt(cx, &mut self.pending, from, records);
            }
            Message::Adopted { serials } => {
                Settler::adopted(cx, &mut self.pending, from, &serials);
            }
        }
    }

    fn written(&mut self, cx: &mut Context, op: Op, result: &Written) {
        let Some(purpose) = cx.shared.ops.remove(op) else {
            return;
        };
        let responded = matches!(result, Written::Applied | Written::Failed { .. });
        self.record_table_result(cx, responded);
        match purpose {
            Purpose::Claim(entry) => self.admission.claimed(cx, entry, result),
            Purpose::Batch => {
                let status = self.batch_writer.written(cx, &mut self.pending, result);
                self.on_fence_status(cx, status);
            }
            Purpose::Fence(home) => self.settler.fenced(cx, home, result),
            Purpose::Insert(home) => {
                self.settler.inserted(cx, &mut self.pending, home, result);
            }
            Purpose::MarkUnknown => {
                let keys = self.admission.claim_updates.marked(cx, result);
                self.admission.record_marked(&keys);
            }
            Purpose::DeleteClaim => self.admission.claim_updates.deleted(cx, result),
            Purpose::ReadClaim(_)
            | Purpose::ReadOutcome(_)
            | Purpose::ReadBatch
            | Purpose::ReadForDeletion
            | Purpose::Scan(_) => {}
        }
    }

    fn read(&mut self, cx: &mut Context, op: Op, result: Result<Option<Row>, Unavailable>) {
        let Some(purpose) = cx.shared.ops.remove(op) else {
            return;
        };
        self.record_table_result(cx, result.is_ok());
        let view = View {
            peers: &self.peers,
            pending: &mut self.pending,
        };
        match purpose {
            Purpose::ReadClaim(entry) => self.admission.read_claim(cx, &view, entry, result),
            Purpose::ReadOutcome(call) => self.admission.handle_outcome_row(cx, call, result),
            Purpose::ReadBatch => {
                let status = self.batch_writer.read(cx, &mut self.pending, result);
                self.on_fence_status(cx, status);
            }
            Purpose::ReadForDeletion => self.admission.claim_updates.read(cx, result),
            Purpose::Claim(_)
            | Purpose::Batch
            | Purpose::Fence(_)
            | Purpose::Scan(_)
            | Purpose::Insert(_)
            | Purpose::MarkUnknown
            | Purpose::DeleteClaim => {}
        }
    }

    fn scanned(&mut self, cx: &mut Context, op: Op, result: Result<Page, Unavailable>) {
        let Some(purpose) = cx.shared.ops.remove(op) else {
            return;
        };
        self.record_table_result(cx, result.is_ok());
        if let Purpose::Scan(home) = purpose {
            self.settler.scanned(cx, &mut self.pending, home, result);
        }
    }

    fn record_table_result(&mut self, cx: &mut Context, responded: bool) {
        let before = cx.table_unavailable();
        if responded {
            cx.table_responded();
        } else {
            cx.table_failed();
        }
        // The number of copies that a draining host needs depends on whether the table is
        // available.
        if cx.shared.draining && before != cx.table_unavailable() {
            self.pending.requeue(cx, |_| true);
        }
    }

    /// Handles a fence on this incarnation, set by a host that took this one for dead, or another
    /// process that writes under it. No further batch is written, so all records are settled one
    /// by one.
    fn on_fence_status(&mut self, cx: &mut Context, status: FenceStatus) {
        if status == FenceStatus::NotSeen {
            return;
        }
        let fenced = cx.shared.me;
        if cx.shared.fenced.insert(fenced) {
            cx.push(Action::Retire { fenced });
        }
        self.pending.stop_batches();
    }

    fn renew(&mut self, cx: &mut Context, me: Incarnation) {
        cx.shared.former.insert(cx.shared.me);
        cx.shared.me = me;
        self.batch_writer.stop();
        self.pending.stop_batches();
        self.pending.forget_copies(cx);
    }

    fn drain(&mut self, cx: &mut Context) {
        cx.shared.draining = true;
        self.admission.delete_unused_claims();
        self.received_copies.query_owners(cx, &self.peers);
        let owners: Vec<Incarnation> = self.received_copies.owners().collect();
        for owner in owners {
            self.watch_owner(cx, owner);
        }
    }

    /// Whether no other host and no caller depends on this process any more.
    fn is_drained(&self, cx: &Context) -> bool {
        let unavailable = cx.table_unavailable();
        let updates_done = unavailable || self.admission.claim_updates.is_empty();
        let records_done =
            self.pending.is_empty() || unavailable && self.pending.is_handed_over(&self.peers);
        cx.shared.draining
            && self.admission.is_idle()
            && updates_done
            && records_done
            && self.received_copies.is_empty()
    }
}
