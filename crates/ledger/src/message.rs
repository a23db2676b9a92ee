//! What the ledgers of two hosts say to each other.

use serde::{Deserialize, Serialize};

use crate::{Record, Serial};

/// A message from one ledger to another. Each may be lost, doubled or late.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// Keep these records of the sender until they are released.
    Copy {
        /// Names this message in its confirmation.
        batch: u64,
        /// The records.
        records: Vec<Record>,
    },
    /// The records of a [`Message::Copy`] are held.
    Copied {
        /// The message that is confirmed.
        batch: u64,
    },
    /// The records of a [`Message::Copy`] are not held: there is no room.
    Full {
        /// The message that is refused.
        batch: u64,
    },
    /// Records of the sender are in the table or held elsewhere: forget them.
    Release {
        /// The lowest number that the sender still holds.
        below: Serial,
        /// The numbers of further records.
        serials: Vec<Serial>,
    },
    /// The sender has held these copies of the receiver's records for long: it
    /// asks which of them it may forget, in case a release was lost.
    Holds {
        /// The records' numbers.
        serials: Vec<Serial>,
    },
    /// Records of work that ran at the sender under the receiver's tickets:
    /// the receiver bills each, unless it has billed the key before.
    Adopt {
        /// The records, numbered by the sender.
        records: Vec<Record>,
    },
    /// The receiver of an [`Message::Adopt`] sees to these records from now on.
    Adopted {
        /// The sender's numbers of the records.
        serials: Vec<Serial>,
    },
}
