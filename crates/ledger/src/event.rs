//! Events that the daemon reports to the ledger.

use kernel::{Incarnation, RequestId};

use crate::{Arrival, Charge, Message, Outcome, Peer, table};

/// An event that the daemon reports to the ledger.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// A call arrived, from a caller or from another host.
    Arrive(Arrival),
    /// An attempt is about to be sent. Reported before the first byte is written.
    AttemptSending {
        /// A permitted request.
        request: RequestId,
    },
    /// An attempt is proved not to have run: nothing was sent, or the endpoint refused it.
    AttemptNotRun {
        /// A permitted request.
        request: RequestId,
    },
    /// A permitted request has ended. Reported once per permit, unless [`Event::Cancelled`] is
    /// reported instead.
    Finished {
        /// A permitted request.
        request: RequestId,
        /// The way in which it ended.
        end: End,
    },
    /// The caller disconnected before its request was dispatched, and it won't be dispatched any
    /// more. If the request was already permitted, the ledger closes it.
    Cancelled {
        /// A request of which no attempt was sent.
        request: RequestId,
    },
    /// A forwarded call has ended.
    Forwarded {
        /// The request of [`crate::Action::Forward`].
        request: RequestId,
        /// The result of forwarding.
        end: ForwardResult,
    },
    /// The other live hosts. Reported after each change.
    Hosts(Vec<Peer>),
    /// A message from the ledger of another host.
    Received {
        /// The incarnation of the sender.
        from: Incarnation,
        /// The message.
        message: Message,
    },
    /// A transaction has ended.
    Transacted {
        /// The operation of [`crate::Action::Transact`].
        op: table::Op,
        /// The result.
        result: table::Written,
    },
    /// A read has ended.
    Read {
        /// The operation of [`crate::Action::Read`].
        op: table::Op,
        /// The row, or `None` if it doesn't exist.
        result: Result<Option<table::Row>, table::Unavailable>,
    },
    /// A scan has ended.
    Scanned {
        /// The operation of [`crate::Action::Scan`].
        op: table::Op,
        /// The rows.
        result: Result<table::Page, table::Unavailable>,
    },
    /// The process was asked to shut down. The ledger hands over everything it holds and then
    /// returns [`crate::Action::Drained`].
    Drain,
    /// The process took a new incarnation.
    Renew {
        /// The new incarnation.
        me: Incarnation,
    },
    /// The time requested by [`crate::Action::Wake`] has come.
    Tick,
}

/// The way in which a permitted request ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum End {
    /// An endpoint sent a complete response.
    Answered {
        /// The response for later retries, or `None` if it is too large or not text.
        outcome: Option<Outcome>,
        /// The charge to bill.
        charge: Charge,
    },
    /// It was refused, or all its attempts failed. Whether it may have run follows from the
    /// reported attempts.
    Unanswered,
}

/// The result of forwarding a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ForwardResult {
    /// The home responded, and its response was relayed to the caller.
    Relayed,
    /// The home didn't respond.
    Failed,
}
