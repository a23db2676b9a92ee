//! The components of the ledger, and the routing of events to them.

use kernel::Incarnation;

use crate::cx::{Cx, Purpose, Shared};
use crate::holdings::{Holdings, Lane};
use crate::intake::{Adoption, Intake, View};
use crate::peers::Peers;
use crate::settler::{self, Settler};
use crate::status::Status;
use crate::table::{Op, Page, Row, Unavailable, Written};
use crate::timers::Timer;
use crate::vault::Vault;
use crate::writer::{Finding, Writer};
use crate::{Action, Event, Message, Peer};

/// The components of the ledger.
#[derive(Debug, Default)]
pub(crate) struct Core {
    pub(crate) peers: Peers,
    pub(crate) intake: Intake,
    pub(crate) holdings: Holdings,
    vault: Vault,
    writer: Writer,
    settler: Settler,
    drained: bool,
}

impl Core {
    pub(crate) fn handle(&mut self, cx: &mut Cx, event: Event) {
        while let Some(timer) = cx.shared.timers.take_due(cx.now) {
            self.fire(cx, timer);
        }
        self.take(cx, event);
        self.pump(cx);
        if let Some(at) = cx.shared.timers.wake(cx.now) {
            cx.push(Action::Wake { at });
        }
    }

    pub(crate) fn status(&self, shared: &Shared) -> Status {
        Status {
            me: shared.me,
            held: self.holdings.len(),
            held_bound: shared.tuning.held_records,
            copies: self.vault.len(),
            keys: self.intake.book().len(),
            outcome_bytes: self.intake.book().outcome_bytes(),
            counters: shared.counters,
        }
    }

    fn take(&mut self, cx: &mut Cx, event: Event) {
        let mut view = View {
            peers: &self.peers,
            holdings: &mut self.holdings,
        };
        match event {
            Event::Arrive(arrival) => self.intake.arrive(cx, &mut view, arrival),
            Event::Sending { request } => self.intake.sending(&request),
            Event::Returned { request } => self.intake.returned(&request),
            Event::Finished { request, end } => self.intake.finish(cx, &mut view, &request, end),
            Event::Cancelled { request } => self.intake.cancel(cx, &mut view, &request),
            Event::Forwarded { request, end } => self.intake.forwarded(cx, &request, end),
            Event::Hosts(peers) => self.hosts(cx, peers),
            Event::Received { from, message } => self.receive(cx, from, message),
            Event::Transacted { op, result } => self.written(cx, op, &result),
            Event::Read { op, result } => self.read(cx, op, result),
            Event::Scanned { op, result } => self.scanned(cx, op, result),
            Event::Drain => self.drain(cx),
            Event::Renew { me } => self.renew(cx, me),
            Event::Tick => {}
        }
    }

    fn fire(&mut self, cx: &mut Cx, timer: Timer) {
        match timer {
            Timer::Claim(entry) => self.intake.retry_claim(cx, entry),
            Timer::Copy(batch) => self.holdings.reject(cx, &mut self.peers, batch),
            Timer::Release(serial) => self.holdings.release_late(cx, serial),
            Timer::Settle(home) => settler::offer_again(&mut self.holdings, home),
            Timer::Orphan(owner) => self.orphan(cx, owner),
            Timer::Chore => self.intake.chores.resume(),
            Timer::Ask => self.vault.ask(cx, &self.peers),
            Timer::Sweep => self.intake.sweep(cx, &self.holdings),
            // These only cause the call of `pump`, which finds the due work.
            Timer::Flush | Timer::Partners => {}
        }
    }

    /// Starts all work that is due.
    fn pump(&mut self, cx: &mut Cx) {
        let urgent = self.holdings.copy(cx, &self.peers);
        self.writer.pump(cx, &self.peers, &self.holdings, urgent);
        self.settler
            .pump(cx, &mut self.peers, &mut self.holdings, urgent);
        self.intake.chores.pump(cx);
        if !self.drained && self.is_drained(cx) {
            self.drained = true;
            cx.push(Action::Drained);
        }
    }

    fn hosts(&mut self, cx: &mut Cx, peers: Vec<Peer>) {
        self.peers.replace(cx.now, peers);
        self.give_back(cx);
        let owners: Vec<Incarnation> = self.vault.owners().collect();
        for owner in owners {
            self.watch(cx, owner);
        }
        self.vault.prune(|owner| self.peers.is_live(owner));
        self.holdings.review(cx, &self.peers);
    }

    /// Arms the timer after which the copies of a missing owner are taken over, or disarms it if
    /// the owner is alive. A draining host takes them over at once.
    fn watch(&mut self, cx: &mut Cx, owner: Incarnation) {
        if self.peers.is_live(owner) {
            cx.shared.timers.disarm(Timer::Orphan(owner));
        } else if cx.shared.draining {
            self.inherit(cx, owner);
        } else {
            let at = self.peers.gone_since(cx.now, owner) + cx.shared.tuning.fence_after;
            cx.shared.timers.arm(at, Timer::Orphan(owner));
        }
    }

    fn orphan(&mut self, cx: &mut Cx, owner: Incarnation) {
        let gone = self.peers.gone_since(cx.now, owner) + cx.shared.tuning.fence_after;
        if self.peers.is_live(owner) || cx.now < gone {
            self.watch(cx, owner);
        } else {
            self.inherit(cx, owner);
        }
    }

    /// Takes over the records of an owner that is gone: they are copied to another host and settled
    /// under the homes of their keys.
    fn inherit(&mut self, cx: &mut Cx, owner: Incarnation) {
        let mut later = Vec::new();
        for record in self.vault.take(owner) {
            let home = record.key.home;
            if cx.shared.decides(home) {
                let adoption = self.intake.inherit(cx, &mut self.holdings, record);
                if let Adoption::Later(record) = adoption {
                    later.push(*record);
                }
            } else {
                self.holdings
                    .hold(cx, record, Lane::Single(home), Vec::new());
            }
        }
        if !later.is_empty() {
            let at = cx.retry_at();
            cx.shared.timers.arm(at, Timer::Orphan(owner));
            self.vault.restore(cx, owner, later);
        }
        self.give_back(cx);
    }

    /// Returns inherited records to homes that are alive after all and weren't fenced. They become
    /// copies again.
    fn give_back(&mut self, cx: &mut Cx) {
        for home in self.holdings.homes() {
            if cx.shared.may_adopt(&self.peers, home) {
                let records = self.holdings.give_back(cx, home);
                self.vault.restore(cx, home, records);
            }
        }
    }

    fn receive(&mut self, cx: &mut Cx, from: Incarnation, message: Message) {
        self.peers.heard(cx.now, from);
        match message {
            Message::Copy { batch, records } => {
                self.vault.copy(cx, from, batch, records);
                self.watch(cx, from);
            }
            Message::Copied { batch } => self.holdings.confirm(cx, &self.peers, from, batch),
            Message::Full { batch } => self.holdings.refuse(cx, &mut self.peers, from, batch),
            Message::Release { below, serials } => self.vault.release(from, below, &serials),
            Message::Holds { serials } => self.holdings.held_by(cx, from, serials),
            Message::Adopt { records } => {
                self.intake.adopt(cx, &mut self.holdings, from, records);
            }
            Message::Adopted { serials } => {
                Settler::adopted(cx, &mut self.holdings, from, &serials);
            }
        }
    }

    fn written(&mut self, cx: &mut Cx, op: Op, result: &Written) {
        let Some(purpose) = cx.shared.ops.remove(op) else {
            return;
        };
        let answered = matches!(result, Written::Applied | Written::Failed { .. });
        self.note_table(cx, answered);
        match purpose {
            Purpose::Claim(entry) => self.intake.claimed(cx, entry, result),
            Purpose::Batch => {
                let finding = self.writer.written(cx, &mut self.holdings, result);
                self.found(cx, finding);
            }
            Purpose::Fence(home) => self.settler.fenced(cx, home, result),
            Purpose::Insert(home) => {
                self.settler.inserted(cx, &mut self.holdings, home, result);
            }
            Purpose::Mark => {
                let keys = self.intake.chores.marked(cx, result);
                self.intake.note_marked(&keys);
            }
            Purpose::Free => self.intake.chores.freed(cx, result),
            Purpose::ReadClaim(_)
            | Purpose::ReadOutcome(_)
            | Purpose::ReadBatch
            | Purpose::ReadFree
            | Purpose::Scan(_) => {}
        }
    }

    fn read(&mut self, cx: &mut Cx, op: Op, result: Result<Option<Row>, Unavailable>) {
        let Some(purpose) = cx.shared.ops.remove(op) else {
            return;
        };
        self.note_table(cx, result.is_ok());
        let view = View {
            peers: &self.peers,
            holdings: &mut self.holdings,
        };
        match purpose {
            Purpose::ReadClaim(entry) => self.intake.read_claim(cx, &view, entry, result),
            Purpose::ReadOutcome(call) => self.intake.outcome_read(cx, call, result),
            Purpose::ReadBatch => {
                let finding = self.writer.read(cx, &mut self.holdings, result);
                self.found(cx, finding);
            }
            Purpose::ReadFree => self.intake.chores.read(cx, result),
            Purpose::Claim(_)
            | Purpose::Batch
            | Purpose::Fence(_)
            | Purpose::Scan(_)
            | Purpose::Insert(_)
            | Purpose::Mark
            | Purpose::Free => {}
        }
    }

    fn scanned(&mut self, cx: &mut Cx, op: Op, result: Result<Page, Unavailable>) {
        let Some(purpose) = cx.shared.ops.remove(op) else {
            return;
        };
        self.note_table(cx, result.is_ok());
        if let Purpose::Scan(home) = purpose {
            self.settler.scanned(cx, &mut self.holdings, home, result);
        }
    }

    fn note_table(&mut self, cx: &mut Cx, answered: bool) {
        let before = cx.table_out();
        if answered {
            cx.table_answered();
        } else {
            cx.table_failed();
        }
        // The number of copies that a draining host needs depends on whether the table is
        // available.
        if cx.shared.draining && before != cx.table_out() {
            self.holdings.requeue(cx, |_| true);
        }
    }

    /// Handles a fence on this incarnation, set by a host that took this one for dead. No further
    /// batch would be applied, so all records are settled one by one.
    fn found(&mut self, cx: &mut Cx, finding: Finding) {
        if finding == Finding::None {
            return;
        }
        let fenced = cx.shared.me;
        if cx.shared.fenced.insert(fenced) {
            cx.push(Action::Retire { fenced });
        }
        self.holdings.stop_batches();
    }

    fn renew(&mut self, cx: &mut Cx, me: Incarnation) {
        cx.shared.former.insert(cx.shared.me);
        cx.shared.me = me;
        self.writer.stop();
        self.holdings.stop_batches();
        self.holdings.forget_copies(cx);
    }

    fn drain(&mut self, cx: &mut Cx) {
        cx.shared.draining = true;
        self.intake.give_back_all();
        self.vault.ask(cx, &self.peers);
        let owners: Vec<Incarnation> = self.vault.owners().collect();
        for owner in owners {
            self.watch(cx, owner);
        }
    }

    /// Whether no other host and no caller depends on this process any more.
    fn is_drained(&self, cx: &Cx) -> bool {
        let out = cx.table_out();
        let chores = out || self.intake.chores.is_empty();
        let records = self.holdings.is_empty() || out && self.holdings.is_handed_over(&self.peers);
        cx.shared.draining && self.intake.is_idle() && chores && records && self.vault.is_empty()
    }
}
