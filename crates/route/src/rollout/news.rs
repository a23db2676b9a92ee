//! What hosts tell each other of a roll-out.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::{Evidence, Order, Sum, Total, Verdict};

/// What one host tells the others of a roll-out.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct News {
    /// What was asked for.
    pub order: Order,
    /// How long ago it was seen.
    pub elapsed: Duration,
    /// What it has come to.
    pub verdict: Verdict,
    /// How long after the order the release leaves its trial, once hosts agree on it.
    pub moves_on: Option<Duration>,
    /// What the host has seen of the releases.
    pub evidence: Evidence,
    /// What the host and others have seen, on its way to those who gather it.
    pub sums: Vec<Sum>,
    /// What all have seen.
    pub totals: Vec<Total>,
    /// Sessions that are on the old release and would be on the new one.
    pub held: Vec<u64>,
}

/// How much is told of what may be told.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Scope {
    /// Only what wasn't told before: neighbours tell it on, and hear it from others.
    Fresh,
    /// All, for a host that has just started.
    All,
}
