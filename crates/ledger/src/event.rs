//! What happened.

use kernel::{Incarnation, RequestId};

use crate::{Arrival, Charge, Message, Outcome, Peer, table};

/// One thing that happened, as the daemon reports it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// A call arrived, from a caller or forwarded by another host.
    Arrive(Arrival),
    /// Bytes of an attempt may leave from now on. Reported before the first write.
    Sending {
        /// A permitted request.
        request: RequestId,
    },
    /// The attempt is proved not to have run: nothing left, or the endpoint refused it.
    Returned {
        /// A permitted request.
        request: RequestId,
    },
    /// A permitted request has ended. Reported exactly once a permit.
    Finished {
        /// A permitted request.
        request: RequestId,
        /// How it ended.
        end: End,
    },
    /// The caller has gone before its request was dispatched, and it never will be.
    /// A permit that crosses this is given back, closed like any other.
    Cancelled {
        /// A request that arrived and of which nothing was sent.
        request: RequestId,
    },
    /// A forwarded call has ended.
    Forwarded {
        /// The request of [`crate::Action::Forward`].
        request: RequestId,
        /// How it ended.
        end: Forward,
    },
    /// The other hosts that are alive, each time that this changes.
    Hosts(Vec<Peer>),
    /// A message from the ledger of another host.
    Received {
        /// The incarnation that sent it.
        from: Incarnation,
        /// The message.
        message: Message,
    },
    /// A transaction has ended.
    Transacted {
        /// The operation of [`crate::Action::Transact`].
        op: table::Op,
        /// What came of it.
        result: table::Written,
    },
    /// A read has ended.
    Read {
        /// The operation of [`crate::Action::Read`].
        op: table::Op,
        /// The row, or that there is none, or that the table didn't answer.
        result: Result<Option<table::Row>, table::Unavailable>,
    },
    /// A scan has ended.
    Scanned {
        /// The operation of [`crate::Action::Scan`].
        op: table::Op,
        /// The rows, or that the table didn't answer.
        result: Result<table::Page, table::Unavailable>,
    },
    /// The process is asked to leave: hold nothing any more, then say so.
    Drain,
    /// The process took a new incarnation.
    Renew {
        /// The new one.
        me: Incarnation,
    },
    /// Time has passed.
    Tick,
}

/// How a permitted request ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum End {
    /// An endpoint answered it in whole.
    Answered {
        /// The answer for later repeats, or none where it is too large or not text.
        outcome: Option<Outcome>,
        /// What is billed.
        charge: Charge,
    },
    /// It was refused, or all its attempts failed. Whether it may have run
    /// follows from the attempts that were reported.
    Unanswered,
}

/// How a forwarded call ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Forward {
    /// Its home answered or refused it, and the caller was told.
    Relayed,
    /// The home didn't answer.
    Failed,
}
