//! Key prefixes for scans.

use std::fmt;

use kernel::Incarnation;

/// Common prefix of the keys of related rows.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Prefix {
    /// Committed changes.
    ConfigChanges,
    /// History of revisions, oldest first.
    ConfigHistory,
    /// Claims.
    Claims,
    /// Billing rows of all hosts.
    Bills,
    /// Billing rows of one incarnation of a host: first the batches, then the rows
    /// of single requests.
    BillsOf(Incarnation),
    /// Fences.
    Fences,
    /// Leases.
    Leases,
    /// Roll-outs.
    Rollouts,
}

impl fmt::Display for Prefix {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::ConfigChanges => f.write_str("config/change/"),
            Self::ConfigHistory => f.write_str("config/history/"),
            Self::Claims => f.write_str("claim/"),
            Self::Bills => f.write_str("bill/"),
            Self::BillsOf(incarnation) => write!(f, "bill/{incarnation}/"),
            Self::Fences => f.write_str("fence/"),
            Self::Leases => f.write_str("lease/"),
            Self::Rollouts => f.write_str("rollout/"),
        }
    }
}
