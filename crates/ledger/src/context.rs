//! The context of an event handler.

use std::collections::BTreeSet;
use std::time::Duration;

use kernel::{DataCentre, Incarnation, RequestId};
use slotmap::SlotMap;

use crate::calls::CallKey;
use crate::peers::Peers;
use crate::registry::EntryKey;
use crate::status::Counters;
use crate::table::{Op, Transaction};
use crate::timers::{Timer, Timers};
use crate::{Action, Message, Reason, Refusal, Run, Serial, Tuning, rows};

/// Number of consecutive failed operations after which the table counts as unavailable.
const FAILURES_UNTIL_UNAVAILABLE: u32 = 2;

/// The delay that a refused caller is asked to wait.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// State that the components share.
#[derive(Debug)]
pub(crate) struct Shared {
    pub(crate) me: Incarnation,
    pub(crate) data_centre: DataCentre,
    pub(crate) tuning: Tuning,
    pub(crate) draining: bool,
    /// Incarnations known to be fenced in the table.
    pub(crate) fenced: BTreeSet<Incarnation>,
    /// Earlier incarnations of this process.
    pub(crate) former: BTreeSet<Incarnation>,
    pub(crate) timers: Timers,
    pub(crate) ops: SlotMap<Op, Purpose>,
    pub(crate) counters: Counters,
    failures: u32,
    failed_at: Duration,
    nonce: u64,
}

/// The purpose of a table operation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Purpose {
    Claim(EntryKey),
    ReadClaim(EntryKey),
    ReadOutcome(CallKey),
    Batch,
    ReadBatch,
    Fence(Incarnation),
    Scan(Incarnation),
    Insert(Incarnation),
    MarkUnknown,
    ReadForDeletion,
    DeleteClaim,
}

/// The context of one event: its time, the resulting actions, and the shared state.
#[derive(Debug)]
pub(crate) struct Context<'a> {
    pub(crate) now: Duration,
    pub(crate) actions: &'a mut Vec<Action>,
    pub(crate) shared: &'a mut Shared,
}

impl Shared {
    pub(crate) fn new(me: Incarnation, data_centre: DataCentre, tuning: Tuning) -> Self {
        Self {
            me,
            data_centre,
            tuning,
            draining: false,
            fenced: BTreeSet::new(),
            former: BTreeSet::new(),
            timers: Timers::default(),
            ops: SlotMap::with_key(),
            counters: Counters::default(),
            failures: 0,
            failed_at: Duration::ZERO,
            nonce: 0,
        }
    }

    /// Whether this process decides about the keys of `home`.
    pub(crate) fn decides(&self, home: Incarnation) -> bool {
        home == self.me && !self.fenced.contains(&home)
    }

    /// Whether `home` is alive and can adopt its records itself.
    pub(crate) fn can_adopt(&self, peers: &Peers, home: Incarnation) -> bool {
        peers.is_live(home) && !self.has_no_more_batches(home) && !self.former.contains(&home)
    }

    /// Whether no batch of `home` can be written any more, except by this process.
    ///
    /// The current incarnation needs no fence, because the same process writes its batches.
    pub(crate) fn has_no_more_batches(&self, home: Incarnation) -> bool {
        home == self.me || self.fenced.contains(&home)
    }
}

impl Context<'_> {
    pub(crate) fn push(&mut self, action: Action) {
        self.actions.push(action);
    }

    pub(crate) fn send(&mut self, to: Incarnation, message: Message) {
        self.push(Action::Send { to, message });
    }

    pub(crate) fn permit(&mut self, request: RequestId) {
        self.push(Action::Permit { request });
    }

    pub(crate) fn refuse(&mut self, request: RequestId, reason: Reason, run: Run) {
        let retry_after = match reason {
            Reason::StoreOut | Reason::InProgress | Reason::Overloaded | Reason::Leaving => {
                Some(RETRY_AFTER)
            }
            Reason::HolderGone | Reason::KeyReused | Reason::AnswerCut | Reason::UpstreamFailed => {
                None
            }
        };
        self.push(Action::Refuse {
            request,
            refusal: Refusal {
                reason,
                run,
                retry_after,
            },
        });
    }

    pub(crate) fn transact(&mut self, purpose: Purpose, transaction: Transaction) {
        let op = self.shared.ops.insert(purpose);
        self.push(Action::Transact { op, transaction });
    }

    pub(crate) fn read(&mut self, purpose: Purpose, key: String) {
        let op = self.shared.ops.insert(purpose);
        self.push(Action::Read { op, key });
    }

    pub(crate) fn arm(&mut self, after: Duration, timer: Timer) {
        self.shared.timers.arm(self.now + after, timer);
    }

    /// The time of the next try after a failure.
    pub(crate) fn retry_at(&self) -> Duration {
        self.now + self.shared.tuning.retry_interval
    }

    /// Returns a claim nonce that is unique within this process.
    pub(crate) fn nonce(&mut self) -> u64 {
        self.shared.nonce += 1;
        self.shared.nonce
    }

    pub(crate) fn table_responded(&mut self) {
        self.shared.failures = 0;
    }

    pub(crate) fn table_failed(&mut self) {
        self.shared.failures = self.shared.failures.saturating_add(1);
        self.shared.failed_at = self.now;
    }

    /// Whether the last operations on the table failed.
    pub(crate) fn table_unavailable(&self) -> bool {
        self.shared.failures >= FAILURES_UNTIL_UNAVAILABLE
    }

    /// Whether a table operation would probably only delay the caller. After the retry interval
    /// operations are tried again until one fails.
    pub(crate) fn table_recently_failed(&self) -> bool {
        self.table_unavailable()
            && self.now < self.shared.failed_at + self.shared.tuning.retry_interval
    }
}

impl Context<'_> {
    /// Requests the batches of `home` after the one that ends at serial `after`.
    pub(crate) fn scan(
        &mut self,
        purpose: Purpose,
        home: Incarnation,
        after: Serial,
        limit: usize,
    ) {
        let op = self.shared.ops.insert(purpose);
        self.push(Action::Scan {
            op,
            prefix: rows::batch_prefix(home),
            after: rows::batch_key(home, after),
            limit,
        });
    }
}
