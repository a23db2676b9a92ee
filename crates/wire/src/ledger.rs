//! What hosts say to each other about requests and their billing records.
//!
//! The payloads are opaque here: `ledger` and `gate` own their meaning.

use kernel::{HostName, RequestKey};
use serde::{Deserialize, Serialize};

use crate::Identity;

/// Asks the partner to hold copies of billing records until the table has
/// them; answered with [`crate::Frame::Held`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Hold {
    /// Whose records they are.
    pub owner: Identity,
    /// The number of the first record; the others follow without a gap.
    pub first: u64,
    /// The records.
    pub records: Vec<Vec<u8>>,
}

/// Tells the partner that the table has the records up to a number, or, as an
/// answer to [`Hold`], that the partner holds them.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Release {
    /// Whose records they are.
    pub owner: Identity,
    /// The last number that it speaks of.
    pub through: u64,
}

/// Asks a request's home what became of it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Question {
    /// The request.
    pub key: RequestKey,
}

/// What became of a request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// The home never saw it and won't run it any more.
    NeverSeen,
    /// It runs.
    InFlight,
    /// It ended, and this is its outcome.
    Done(Vec<u8>),
    /// The home saw it and no longer knows how it ended, or isn't the
    /// incarnation that was asked for.
    Gone,
}

/// Answers a [`Question`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Answer {
    /// The request.
    pub key: RequestKey,
    /// What became of it.
    pub outcome: Outcome,
}

/// Asks a request's home to run it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Forward {
    /// The request.
    pub key: RequestKey,
    /// Who forwards it.
    pub from: HostName,
    /// The request in the form of the gate.
    pub payload: Vec<u8>,
}

/// Answers a [`Forward`] with the whole answer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Forwarded {
    /// The request.
    pub key: RequestKey,
    /// The answer in the form of the gate.
    pub payload: Vec<u8>,
}
