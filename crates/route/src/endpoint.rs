//! Endpoints as the listing shows them, and the load that they report.

use std::net::SocketAddr;
use std::time::Duration;

use kernel::{DataCentre, EndpointId, Incarnation, Release, ServiceName, hash};
use serde::{Deserialize, Serialize};

use crate::Pace;

slotmap::new_key_type! {
    /// Identifies an endpoint in the [`Directory`](crate::Directory) of this host.
    pub struct Key;
}

/// Identifies one process of an endpoint, from its start to its exit. All hosts compute the
/// same value.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ProcessId(u64);

/// An endpoint's entry in the listing.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Entry {
    /// The endpoint's ID.
    pub id: EndpointId,
    /// Increases with each start of the endpoint under the same ID. `None` if the listing
    /// doesn't contain it.
    pub incarnation: Option<Incarnation>,
    /// The service that it belongs to.
    pub service: ServiceName,
    /// The address that it listens on.
    pub address: SocketAddr,
    /// The data centre that it is in.
    pub data_centre: DataCentre,
    /// The release that it runs.
    pub release: Release,
    /// The number of requests that it can run concurrently.
    pub slots: u32,
    /// Whether it accepts new requests.
    pub state: State,
    /// For how much longer it is cold. Zero if it is warm.
    pub cold: Duration,
}

impl ProcessId {
    /// Returns the ID of the process that an endpoint's start with this incarnation began.
    pub(crate) fn new(endpoint: &EndpointId, incarnation: Option<Incarnation>) -> Self {
        Self(hash::of(&(endpoint, incarnation)))
    }

    /// Returns the sort key of a host for rendezvous hashing with this process.
    pub(crate) fn rank(self, host: u64) -> u64 {
        hash::of(&(self.0, host))
    }
}

impl Entry {
    /// Returns the ID of the endpoint's current process.
    #[must_use]
    pub fn process(&self) -> ProcessId {
        ProcessId::new(&self.id, self.incarnation)
    }
}

/// Whether an endpoint accepts new requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum State {
    /// It accepts new requests.
    Ready,
    /// It only finishes requests in flight.
    Draining,
}

/// The load that an endpoint reports.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Load {
    /// The number of requests that it is running.
    pub running: u32,
    /// The number of requests in its queue.
    pub waiting: u32,
    /// The number of requests that it can run concurrently.
    pub slots: u32,
    /// The pace of its machine, if it reports one.
    pub pace: Option<Pace>,
}

impl Load {
    /// Returns the number of requests that are running or queued. Reported values may be
    /// arbitrarily large, so they are added as floats.
    pub(crate) fn requests(self) -> f64 {
        f64::from(self.running) + f64::from(self.waiting)
    }

    /// Returns the load relative to the slots; more than 1 if requests are queued.
    #[must_use]
    pub fn utilization(self) -> f64 {
        self.requests() / f64::from(self.slots.max(1))
    }
}
