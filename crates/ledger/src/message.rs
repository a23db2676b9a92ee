//! What the ledgers of two hosts say to each other.

use kernel::{Incarnation, RequestKey};
use serde::{Deserialize, Serialize};

use crate::{Fingerprint, Outcome, Record, Serial};

/// A message from one ledger to another. Each may be lost, doubled or late.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// Keep these records until they are released.
    Copy {
        /// The incarnation that settles them while it lives.
        owner: Incarnation,
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
    /// These records are in the table or held elsewhere: forget them.
    Release {
        /// The incarnation that owned them.
        owner: Incarnation,
        /// Their numbers.
        serials: Vec<Serial>,
    },
    /// A record of work that ran at the sender under the receiver's ticket:
    /// the receiver bills it, unless it has billed the key before.
    Adopt {
        /// The record, numbered by the sender.
        record: Record,
        /// The receiver's number at which the ticket was minted.
        floor: Serial,
    },
    /// The receiver of an [`Message::Adopt`] sees to the record from now on.
    Adopted {
        /// The sender's number of the record.
        serial: Serial,
    },
    /// What came of this claim, which the receiver holds?
    Ask {
        /// The claimed key.
        key: RequestKey,
        /// What the asking call asks for.
        fingerprint: Fingerprint,
    },
    /// The answer to an [`Message::Ask`].
    Told {
        /// The claimed key.
        key: RequestKey,
        /// What is known.
        verdict: Verdict,
    },
}

/// What the holder of a claim knows about its key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Verdict {
    /// It was answered.
    Answered {
        /// The answer, where it is still kept.
        outcome: Option<Outcome>,
    },
    /// It is being run, or the claim is being given back.
    InProgress,
    /// It may have run; nobody will ever know.
    Unknown,
    /// The key was claimed for another body.
    KeyReused,
}
