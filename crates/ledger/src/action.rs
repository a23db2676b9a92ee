//! What the ledger wants done.

use std::time::Duration;

use kernel::{Incarnation, RequestId};

use crate::{Message, Outcome, Refusal, Run, table};

/// One thing that the daemon performs for the ledger.
///
/// Every arrival gets exactly one of [`Action::Permit`], [`Action::Replay`],
/// [`Action::Forward`] and [`Action::Refuse`]; every permit that was ended
/// gets exactly one of [`Action::Release`] and [`Action::Close`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// The request may be dispatched; the daemon reports each attempt and the end.
    Permit {
        /// The request that arrived.
        request: RequestId,
    },
    /// The request was run before: its answer is repeated, nothing is billed.
    Replay {
        /// The request that arrived.
        request: RequestId,
        /// The answer of the first run.
        outcome: Outcome,
    },
    /// The whole call is passed to its home, which alone may run it.
    Forward {
        /// The request that arrived.
        request: RequestId,
        /// The incarnation whose ticket the caller presented.
        home: Incarnation,
    },
    /// The request isn't dispatched.
    Refuse {
        /// The request that arrived.
        request: RequestId,
        /// Why, and what is known about its execution.
        refusal: Refusal,
    },
    /// The end of the answer may go out.
    Release {
        /// The request that was answered.
        request: RequestId,
        /// Where its billing record is held by now.
        safety: Safety,
    },
    /// A permitted request ended without an answer.
    Close {
        /// The request that was permitted.
        request: RequestId,
        /// What its refusal has to say about its execution.
        run: Run,
    },
    /// A message to the ledger of another host.
    Send {
        /// The incarnation it is for.
        to: Incarnation,
        /// The message, to be sent once; the ledger repeats what matters.
        message: Message,
    },
    /// A transaction on the table.
    Transact {
        /// Named again in [`crate::Event::Transacted`].
        op: table::Op,
        /// What to write and under which conditions.
        transaction: table::Transaction,
    },
    /// One row of the table is needed.
    Read {
        /// Named again in [`crate::Event::Read`].
        op: table::Op,
        /// The row's key.
        key: String,
    },
    /// A range of rows is needed.
    Scan {
        /// Named again in [`crate::Event::Scanned`].
        op: table::Op,
        /// What the rows' keys begin with.
        prefix: String,
        /// The key after which the range begins.
        after: String,
        /// How many rows at most.
        limit: usize,
    },
    /// Another host fenced this incarnation: the process has to take a new one
    /// and report it by [`crate::Event::Renew`].
    Retire {
        /// The fenced incarnation.
        fenced: Incarnation,
    },
    /// Nothing is held any more: the process may end.
    Drained,
    /// [`crate::Event::Tick`] is wanted at this time, sooner than asked for before.
    Wake {
        /// Monotonic time of this process.
        at: Duration,
    },
}

/// Where the billing record of an answered request is held when the end of
/// its answer goes out.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Safety {
    /// On this host and on one in another data centre.
    TwoDataCentres,
    /// On this host and on another one in the same data centre.
    TwoHosts,
    /// In the table.
    Table,
    /// On this host alone: neither a partner nor the table answered in time.
    SingleCopy,
    /// The request was billed before; nothing had to be kept.
    Billed,
}
