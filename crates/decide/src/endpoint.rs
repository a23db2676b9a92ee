//! Endpoint updates passed to the decider.

use std::sync::Arc;
use std::time::Duration;

use kernel::{HostName, Incarnation, ServiceName, VersionId};
use serde::{Deserialize, Serialize};

use crate::key;

/// The identity of one run of an endpoint's process, the same on every host.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Id {
    /// A hash of the host's name.
    pub host: u64,
    /// The incarnation, which tells a restarted process from the previous one.
    pub incarnation: Incarnation,
}

impl Id {
    /// Returns the identity of the process on `host` with this incarnation.
    #[must_use]
    pub fn new(host: &HostName, incarnation: Incarnation) -> Self {
        Self {
            host: key::hash(host.as_str().as_bytes()),
            incarnation,
        }
    }
}

/// The current state of an endpoint. Each update replaces the previous one, except that
/// a missing load report, or one of no slots, keeps the last. An update with a different
/// incarnation, even a lower one, removes the known endpoint.
#[derive(Clone, Debug)]
pub struct Update {
    /// The endpoint.
    pub id: Id,
    /// The versions or the service that it provides.
    pub role: Role,
    /// The distance from this host.
    pub distance: Distance,
    /// Whether it accepts new requests.
    pub state: State,
    /// Its last load report, if any.
    pub load: Option<Load>,
}

/// The versions or the service that an endpoint provides.
#[derive(Clone, Debug)]
pub enum Role {
    /// A model engine with these versions loaded. Versions that aren't in the
    /// policy are kept, in case a later policy contains them.
    Engine(Arc<[VersionId]>),
    /// A plain service.
    Service(ServiceName),
}

/// The distance to an endpoint, ordered from near to far.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Distance {
    /// In the same data centre.
    DataCentre,
    /// In the same region.
    Region,
    /// In another region.
    Far,
}

/// Whether an endpoint accepts new requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum State {
    /// Accepts new requests.
    Live,
    /// Only finishes the requests that it has.
    Leaving,
    /// The process has ended. Its attempts stay in flight until the driver reports
    /// their outcomes.
    Gone,
}

/// The load that an endpoint reported some time ago.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Load {
    /// Running requests.
    pub running: u32,
    /// Requests queued at the endpoint.
    pub waiting: u32,
    /// The maximum number of running requests.
    pub slots: u32,
    /// The age of the report when the update was passed to the decider.
    pub age: Duration,
}
