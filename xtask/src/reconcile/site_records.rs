//! The records that a run is checked against.

use fakes::{Execution, ServiceExecution};

use crate::reconcile::{AllowedVersions, BillingRecord};

/// The stand-ins' records of one run and facts about the configuration of the site. The billing
/// records are those that the hosts wrote to the table's stand-in.
#[derive(Clone, Debug, Default)]
pub struct SiteRecords {
    /// The executions of the engines.
    pub executions: Vec<Execution>,
    /// The executions of the plain services.
    pub service_executions: Vec<ServiceExecution>,
    /// The billing records in the table.
    pub billing_records: Vec<BillingRecord>,
    /// The versions that may serve each customer under each profile.
    pub allowed: AllowedVersions,
    /// The withdrawal of a version in the run, if any.
    pub withdrawal: Option<Withdrawal>,
}

/// The withdrawal of a version.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Withdrawal {
    /// The version.
    pub version: String,
    /// Time at which the operator had the response to the change, in milliseconds since the Unix
    /// epoch.
    pub accepted_ms: u64,
}
