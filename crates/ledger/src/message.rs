//! Messages between the ledgers of two hosts.

use serde::{Deserialize, Serialize};

use crate::{Record, Serial};

/// A message from one ledger to another. It may be lost, duplicated or delayed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// Store copies of these records of the sender until they are released.
    Copy {
        /// Identifies the message in its confirmation.
        copy_id: u64,
        /// The records.
        records: Vec<Record>,
    },
    /// The records of a [`Message::Copy`] are stored.
    Copied {
        /// The confirmed message.
        copy_id: u64,
    },
    /// The records of a [`Message::Copy`] are refused, for lack of room or because of a shutdown.
    CopyRefused {
        /// The refused message.
        copy_id: u64,
    },
    /// Delete copies of records of the sender that are in the table or stored elsewhere.
    Release {
        /// All copies below this serial can be deleted.
        below: Serial,
        /// The serials of further copies to delete.
        serials: Vec<Serial>,
    },
    /// Asks which of these copies of the receiver's records are still needed. The sender has stored
    /// them for long, and a release may have been lost.
    QueryCopies {
        /// The serials of the records.
        serials: Vec<Serial>,
    },
    /// Adopt these records of work that ran on other hosts under the receiver's tickets. The
    /// receiver bills each key once.
    Adopt {
        /// The records, under the sender's serials.
        records: Vec<Record>,
    },
    /// The sender has adopted these records or has billed their keys before, so the receiver may
    /// delete them.
    Adopted {
        /// The serials under which the receiver of this message offered the records.
        serials: Vec<Serial>,
    },
}
