//! Operators' roll-out orders and their verdicts.

use std::time::Duration;

use derive_more::Display;
use kernel::{Release, ServiceName};
use serde::{Deserialize, Serialize};

use crate::Revision;

/// An operator's order to roll out a release.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Order {
    /// The service.
    pub service: ServiceName,
    /// The new release.
    pub release: Release,
    /// The duration of the roll-out.
    #[serde(rename = "over")]
    pub duration: Duration,
    /// The store's revision at which the order was written; a newer order has a higher one.
    pub revision: Revision,
}

/// The state of a roll-out.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Verdict {
    /// The new release is on trial, or traffic is shifting to it.
    #[display("running")]
    Running,
    /// All traffic goes to the new release.
    #[display("complete")]
    Complete,
    /// No traffic goes to the new release.
    #[display("reverted")]
    Reverted,
}
