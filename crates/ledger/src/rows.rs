//! The keys and values of the ledger's table rows; see
//! [PROTOCOLS.md](../../../docs/PROTOCOLS.md).

use kernel::{Incarnation, RequestKey};
use serde::{Deserialize, Serialize};

use crate::table::{Condition, Expect, Put};
use crate::{Fingerprint, Outcome, Record, Serial};

/// The home in request keys without a ticket.
pub(crate) const NO_HOME: Incarnation = Incarnation(0);

/// The value of `claim/{request key}`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "state", rename_all = "snake_case")]
pub(crate) enum Claim {
    /// The key may run only at the holder.
    Claimed {
        holder: Incarnation,
        /// Distinguishes the claims of one holder.
        nonce: u64,
        fingerprint: Fingerprint,
    },
    /// It ran to a response.
    Answered {
        fingerprint: Fingerprint,
        outcome: Option<Outcome>,
    },
    /// It was sent and got no response.
    Unknown { fingerprint: Fingerprint },
}

impl Claim {
    pub(crate) fn fingerprint(&self) -> Fingerprint {
        match self {
            Self::Claimed { fingerprint, .. }
            | Self::Answered { fingerprint, .. }
            | Self::Unknown { fingerprint } => *fingerprint,
        }
    }
}

/// The value of `bill/{incarnation}/{serial of the last record}`.
#[derive(Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Batch {
    pub(crate) records: Vec<Record>,
}

pub(crate) fn claim_key(key: &RequestKey) -> String {
    format!("claim/{key}")
}

pub(crate) fn fence_key(incarnation: Incarnation) -> String {
    format!("fence/{incarnation}")
}

/// Returns the key prefix of all batches of `home`.
pub(crate) fn batch_prefix(home: Incarnation) -> String {
    format!("bill/{home}/")
}

/// Returns the key of the batch that ends with the record `last`. Batches are sorted by their last
/// serials, so a search for a record may start at its serial.
pub(crate) fn batch_key(home: Incarnation, last: Serial) -> String {
    format!("bill/{home}/{:020}", last.0)
}

/// Returns the last serial of the batch under `key`, or `None` if `key` isn't a batch's.
pub(crate) fn batch_serial(home: Incarnation, key: &str) -> Option<Serial> {
    key.strip_prefix(&batch_prefix(home))?
        .parse()
        .ok()
        .map(Serial)
}

/// Returns the row key of a record that is settled by itself.
pub(crate) fn single_key(key: &RequestKey) -> String {
    format!("bill/{}/key/{key}", key.home)
}

pub(crate) fn absent(key: String) -> Condition {
    Condition {
        key,
        expect: Expect::Absent,
    }
}

pub(crate) fn put<T: Serialize>(key: String, value: &T) -> Put {
    Put {
        key,
        value: to_json(value),
    }
}

/// Returns the claim row from which retries of an at-most-once call are handled once its host is
/// gone, or `None` if the record has no replay data.
pub(crate) fn claim_outcome(record: &Record) -> Option<Put> {
    let replay = record.replay.as_ref()?;
    let value = Claim::Answered {
        fingerprint: replay.fingerprint,
        outcome: replay.outcome.clone(),
    };
    Some(put(claim_key(&record.key), &value))
}

fn to_json<T: Serialize>(value: &T) -> String {
    serde_json::to_string(value).expect("every row value can be serialized")
}
