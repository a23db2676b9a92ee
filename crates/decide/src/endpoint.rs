//! What the decider is told of an endpoint.

use std::sync::Arc;
use std::time::Duration;

use kernel::{HostName, Incarnation, ServiceName, VersionId};
use serde::{Deserialize, Serialize};

use crate::key;

/// The identity of an endpoint: one life of one process. The same on every host.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Id {
    /// A hash of the host's name.
    pub host: u64,
    /// Its incarnation: a new process under an old name is another endpoint.
    pub incarnation: Incarnation,
}

impl Id {
    /// The identity of the process at `host` with this incarnation.
    #[must_use]
    pub fn new(host: &HostName, incarnation: Incarnation) -> Self {
        Self {
            host: key::hash(host.as_str().as_bytes()),
            incarnation,
        }
    }
}

/// What is known of an endpoint. Each update replaces the one before; one with
/// a new incarnation ends the one with the old.
#[derive(Clone, Debug)]
pub struct Update {
    /// Which endpoint.
    pub id: Id,
    /// What it serves.
    pub role: Role,
    /// How far away it is.
    pub distance: Distance,
    /// Whether it takes new work.
    pub state: State,
    /// Its newest load report, if there is one.
    pub load: Option<Load>,
}

/// What an endpoint serves.
#[derive(Clone, Debug)]
pub enum Role {
    /// A model engine with these versions loaded. Versions that the policy
    /// doesn't know are kept for when it does.
    Engine(Arc<[VersionId]>),
    /// A plain service.
    Service(ServiceName),
}

/// How far away an endpoint is, the nearest first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Distance {
    /// In the same data centre.
    DataCentre,
    /// In the same region.
    Region,
    /// In another region.
    Far,
}

/// Whether an endpoint takes new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum State {
    /// It does.
    Live,
    /// It finishes what it has.
    Leaving,
    /// It is gone; its attempts end as the driver finds them to.
    Gone,
}

/// An endpoint's own report of its load; it lags.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Load {
    /// Requests that run.
    pub running: u32,
    /// Requests that wait there.
    pub waiting: u32,
    /// How many can run at once.
    pub slots: u32,
    /// How old the report was when it was passed in.
    pub age: Duration,
}
