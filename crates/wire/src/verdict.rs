//! Verdicts on versions.

use kernel::VersionId;
use serde::{Deserialize, Serialize};

use crate::Identity;

/// A decision about a version. Of two verdicts of the same round, the later variant wins.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Ruling {
    /// Releases the version from quarantine.
    Lift,
    /// Quarantines the version.
    Quarantine,
}

/// A verdict on a version.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Verdict {
    /// The version.
    pub version: VersionId,
    /// One more than the last round that the deciding host knew. The highest is in force; of
    /// equal ones the quarantine, then the one with the higher `by`.
    pub round: u64,
    /// The decision.
    pub ruling: Ruling,
    /// The host that decided.
    pub by: Identity,
    /// The decision core's own verdict, with its cause; opaque to this crate.
    pub evidence: Vec<u8>,
}
