//! Verdicts on versions.

use kernel::VersionId;
use serde::{Deserialize, Serialize};

use crate::Identity;

/// Whether a version may be used.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Ruling {
    /// The version may be used again.
    Lift,
    /// The version is to be kept from callers.
    Quarantine,
}

/// A verdict on a version, made from pooled evidence.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Verdict {
    /// The version.
    pub version: VersionId,
    /// Rises with each verdict on the version; the highest counts.
    pub round: u64,
    /// What was decided.
    pub ruling: Ruling,
    /// Who decided.
    pub by: Identity,
    /// What it was decided on, in the form of the decision core.
    pub evidence: Vec<u8>,
}
