//! The stand-ins' records of one run.

use fakes::{Execution, ServiceExecution};

use crate::reconcile::{Allowed, Bill};

/// Everything that the stand-ins recorded, and what the chore configured.
#[derive(Clone, Debug, Default)]
pub struct Evidence {
    /// What the engines executed.
    pub executions: Vec<Execution>,
    /// What the plain services executed.
    pub runs: Vec<ServiceExecution>,
    /// What the table holds as billed.
    pub bills: Vec<Bill>,
    /// Which versions may answer whom.
    pub allowed: Allowed,
    /// The version that was withdrawn, if one was.
    pub withdrawal: Option<Withdrawal>,
}

/// A version's withdrawal as its operator saw it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Withdrawal {
    /// The version.
    pub version: String,
    /// When the change was accepted, in milliseconds since the Unix epoch.
    pub accepted_ms: u64,
}
