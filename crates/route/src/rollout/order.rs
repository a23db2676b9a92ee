//! What operators ask for, and what it comes to.

use std::time::Duration;

use derive_more::Display;
use kernel::{Release, ServiceName};
use serde::{Deserialize, Serialize};

use crate::Revision;

/// What operators ask for.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Order {
    /// The service.
    pub service: ServiceName,
    /// The new release.
    pub release: Release,
    /// How long it may take.
    pub over: Duration,
    /// When it was written; a newer one is higher.
    pub revision: Revision,
}

/// What a roll-out has come to.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Verdict {
    /// The new release is on trial, or traffic moves to it.
    #[display("running")]
    Running,
    /// All traffic goes to the new release.
    #[display("complete")]
    Complete,
    /// No traffic goes to the new release.
    #[display("reverted")]
    Reverted,
}
