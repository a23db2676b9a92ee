//! The keys and values of the ledger's table rows; see
//! [PROTOCOLS.md](../../../docs/PROTOCOLS.md).

use kernel::{Incarnation, RequestKey};
use serde::{Deserialize, Serialize};

use crate::table::{Condition, Expect, Put};
use crate::{Fingerprint, Outcome, Record, Serial};

/// The home of a request key that came without a ticket.
pub(crate) const NO_HOME: Incarnation = Incarnation(0);

/// The value of `claim/{request key}`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "state", rename_all = "snake_case")]
pub(crate) enum Claim {
    /// Only the holder may run it.
    Claimed {
        holder: Incarnation,
        /// Tells two claims of one holder apart.
        nonce: u64,
        fingerprint: Fingerprint,
    },
    /// It ran and was answered.
    Answered {
        fingerprint: Fingerprint,
        outcome: Option<Outcome>,
    },
    /// It was sent and never answered.
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

/// The value of `bill/{incarnation}/{number of the last record}`.
#[derive(Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Batch {
    pub(crate) records: Vec<Record>,
}

pub(crate) fn claim(key: &RequestKey) -> String {
    format!("claim/{key}")
}

pub(crate) fn fence(incarnation: Incarnation) -> String {
    format!("fence/{incarnation}")
}

/// What the keys of all batches of `home` begin with.
pub(crate) fn batches(home: Incarnation) -> String {
    format!("bill/{home}/")
}

/// The key of the batch whose last record is `last`. A record with a lower
/// number than that and a higher one than the batch before is in this batch,
/// which bounds a search.
pub(crate) fn batch(home: Incarnation, last: Serial) -> String {
    format!("bill/{home}/{:020}", last.0)
}

/// The number of the last record of the batch under `key`, if it is a batch's.
pub(crate) fn batch_serial(home: Incarnation, key: &str) -> Option<Serial> {
    key.strip_prefix(&batches(home))?.parse().ok().map(Serial)
}

/// The key of a record that is billed by itself.
pub(crate) fn single(key: &RequestKey) -> String {
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

/// The row that answers repeats of a non-idempotent call once its host is gone.
pub(crate) fn outcome(record: &Record) -> Option<Put> {
    let replay = record.replay.as_ref()?;
    let value = Claim::Answered {
        fingerprint: replay.fingerprint,
        outcome: replay.outcome.clone(),
    };
    Some(put(claim(&record.key), &value))
}

fn to_json<T: Serialize>(value: &T) -> String {
    serde_json::to_string(value).expect("rows have text keys and no failing serializer")
}
