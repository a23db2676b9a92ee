//! Actions that the ledger requests from the daemon.

use std::time::Duration;

use kernel::{Incarnation, RequestId};

use crate::{Message, Outcome, Refusal, Run, table};

/// An action that the daemon performs for the ledger.
///
/// Every arrival that isn't cancelled gets one of [`Action::Permit`], [`Action::Replay`],
/// [`Action::Forward`] and [`Action::Refuse`]. After a [`Action::Forward`] that failed it also gets
/// an [`Action::Replay`] or an [`Action::Refuse`]. Every permitted request that was
/// reported as finished gets exactly one of [`Action::Release`] and [`Action::Close`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Dispatch the request. The daemon reports each attempt and the end.
    Permit {
        /// The request that arrived.
        request: RequestId,
    },
    /// Send the stored response of an earlier run. Nothing is billed.
    Replay {
        /// The request that arrived.
        request: RequestId,
        /// The response of the first run.
        outcome: Outcome,
    },
    /// Forward the whole call to its home, the only incarnation that may run it.
    Forward {
        /// The request that arrived.
        request: RequestId,
        /// The incarnation that minted the ticket or, without a ticket, holds the claim.
        home: Incarnation,
    },
    /// Refuse the request without dispatching it.
    Refuse {
        /// The request that arrived.
        request: RequestId,
        /// The reason, and whether the request may have run.
        refusal: Refusal,
    },
    /// Send the end of the response, which was held back until its billing record was safe or the
    /// release timeout expired.
    Release {
        /// The request that was answered.
        request: RequestId,
        /// Where the billing record is stored.
        durability: Durability,
    },
    /// Close a permitted request that ended without a response.
    Close {
        /// The request that was permitted.
        request: RequestId,
        /// Whether the request may have run, to be reported in its refusal.
        run: Run,
    },
    /// Send a message to the ledger of another host.
    Send {
        /// The incarnation of the receiver.
        to: Incarnation,
        /// The message. It is sent once; the ledger itself retries where delivery matters.
        message: Message,
    },
    /// Run a transaction on the table.
    Transact {
        /// Identifies the operation in [`crate::Event::Transacted`].
        op: table::Op,
        /// The writes and their conditions.
        transaction: table::Transaction,
    },
    /// Read one row of the table.
    Read {
        /// Identifies the operation in [`crate::Event::Read`].
        op: table::Op,
        /// The row's key.
        key: String,
    },
    /// Read a range of rows.
    Scan {
        /// Identifies the operation in [`crate::Event::Scanned`].
        op: table::Op,
        /// The common prefix of the rows' keys.
        prefix: String,
        /// The exclusive lower bound of the rows' keys.
        after: String,
        /// The maximum number of rows.
        limit: usize,
    },
    /// Take a new incarnation and report it by [`crate::Event::Renew`], because this one was fenced
    /// or another process writes under it.
    Retire {
        /// The incarnation to replace.
        fenced: Incarnation,
    },
    /// The drain is complete: the process may exit.
    Drained,
    /// Send [`crate::Event::Tick`] at this time. Requested only if no tick at this time or earlier
    /// is outstanding.
    Wake {
        /// Monotonic time of this process.
        at: Duration,
    },
}

/// Where the billing record of a request is stored when the end of its response is sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Durability {
    /// On this host and on a host in another data centre.
    TwoDataCentres,
    /// On this host and on another host in the same data centre.
    TwoHosts,
    /// In the table.
    Table,
    /// On this host only: neither another host nor the table confirmed it in time.
    SingleCopy,
    /// The request had been billed before, so no record had to be stored.
    Billed,
}
