//! Endpoints, as the directory lists them and as their answers describe them.

use std::net::SocketAddr;
use std::time::Duration;

use kernel::{DataCentre, EndpointId, Incarnation, Release, ServiceName, hash};
use serde::{Deserialize, Serialize};

slotmap::new_key_type! {
    /// An endpoint in the arena of the directory.
    pub struct Key;
}

/// One life of an endpoint, as a number that all hosts reckon alike.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Process(u64);

/// What the directory lists of an endpoint.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Entry {
    /// Its identity.
    pub id: EndpointId,
    /// The life of its process, higher after each start. An endpoint may start
    /// again under its identity and then knows nothing of before. None where the
    /// directory doesn't tell.
    pub incarnation: Option<Incarnation>,
    /// What it serves.
    pub service: ServiceName,
    /// Where it listens.
    pub address: SocketAddr,
    /// Where it is.
    pub data_centre: DataCentre,
    /// What it runs.
    pub release: Release,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Whether it takes new work.
    pub state: State,
    /// How long it stays slow after its start.
    pub cold: Duration,
}

impl Process {
    /// A host's place in an order of hosts that is this process' own.
    pub(crate) fn rank(self, host: u64) -> u64 {
        hash::of(&(self.0, host))
    }
}

impl Entry {
    /// The life of the endpoint that this entry is of.
    #[must_use]
    pub fn process(&self) -> Process {
        Process(hash::of(&(&self.id, self.incarnation)))
    }
}

/// Whether an endpoint takes new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum State {
    /// It does.
    Ready,
    /// It finishes what it has.
    Draining,
}

/// What an endpoint says of its load.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Load {
    /// Requests that run.
    pub running: u32,
    /// Requests that wait.
    pub waiting: u32,
    /// Requests that can run at once.
    pub slots: u32,
}

impl Load {
    /// Requests that it has, by its own word, which may be any numbers.
    pub(crate) fn requests(self) -> f64 {
        f64::from(self.running) + f64::from(self.waiting)
    }

    /// The part of its places that is taken; more than 1 if requests wait.
    #[must_use]
    pub fn used(self) -> f64 {
        self.requests() / f64::from(self.slots.max(1))
    }
}
