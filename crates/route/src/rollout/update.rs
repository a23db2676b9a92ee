//! Gossip updates on roll-outs.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::{Evidence, Order, PartialSum, Replaced, Total, Verdict};

/// One host's update on a roll-out.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Update {
    /// The operator's order.
    pub order: Order,
    /// The time since the order was first seen by any host, as far as the sender knows.
    pub elapsed: Duration,
    /// The verdict that the host knows.
    pub verdict: Verdict,
    /// The earliest announced end of the trial, as a time since the order was first seen. `None` if
    /// no end is known to be announced.
    #[serde(rename = "moves_on")]
    pub trial_end: Option<Duration>,
    /// The evidence from the host's own observations.
    pub evidence: Evidence,
    /// Partial sums of evidence on their way to the aggregating hosts.
    #[serde(rename = "sums")]
    pub partial_sums: Vec<PartialSum>,
    /// Totals of all hosts.
    pub totals: Vec<Total>,
    /// Hashes of sessions that are on the old release and would otherwise be on the new one.
    #[serde(rename = "held")]
    pub pinned_sessions: Vec<u64>,
    /// The last roll-out of each release that was ever withdrawn, as far as later orders replaced
    /// it.
    pub replaced: Vec<Replaced>,
}

/// The part of a host's state that an update contains.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Scope {
    /// The sessions, totals and quarantine changes that are new, and the parts of the state that
    /// every update contains, such as a roll-out's order, verdict and own evidence.
    Delta,
    /// The full state, for a host that has just started.
    Full,
}
