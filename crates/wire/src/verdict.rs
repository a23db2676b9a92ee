//! Verdicts on versions.

use kernel::VersionId;
use serde::{Deserialize, Serialize};

use crate::Identity;

/// A decision about a version.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Ruling {
    /// Releases the version from quarantine.
    Lift,
    /// Quarantines the version.
    Quarantine,
}

/// A verdict on a version, based on aggregated evidence.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Verdict {
    /// The version.
    pub version: VersionId,
    /// Increases with each verdict on the version; the highest is in force.
    pub round: u64,
    /// The decision.
    pub ruling: Ruling,
    /// The host that decided.
    pub by: Identity,
    /// The evidence for the decision, encoded by the decision core.
    pub evidence: Vec<u8>,
}
