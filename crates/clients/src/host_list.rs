//! The list of live and leaving hosts.

use std::net::SocketAddr;

use http::{Repeat, Request};
use kernel::{DataCentre, HostName, Incarnation, Region, ServiceName, VersionId};
use serde::Deserialize;
use serde_json::Value;

use crate::{Error, Service, call};

/// A host in the list, as it was some time ago.
#[derive(Clone, Debug, Deserialize, PartialEq, Eq)]
pub struct Host {
    /// Its name.
    pub name: HostName,
    /// What runs on it.
    pub kind: Kind,
    /// The life of the process; a replaced host has another under the same name.
    pub incarnation: Incarnation,
    /// Where it takes requests.
    pub address: SocketAddr,
    /// Where an entry host takes frames of other entry hosts.
    #[serde(default)]
    pub fleet_address: Option<SocketAddr>,
    /// Its data centre.
    pub data_centre: DataCentre,
    /// Its region.
    pub region: Region,
    /// Whether it takes new work.
    pub state: State,
    /// The plain service that runs on it.
    #[serde(default)]
    pub service: Option<ServiceName>,
    /// The versions that an engine may load.
    #[serde(default)]
    pub versions: Vec<VersionId>,
    /// Whether it refuses orders with an old fencing number.
    #[serde(default)]
    pub fences: bool,
}

/// What runs on a host.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq, Hash)]
#[serde(rename_all = "snake_case")]
pub enum Kind {
    /// This system.
    Entry,
    /// A model engine.
    Engine,
    /// A plain service.
    Service,
}

/// Whether a host takes new work.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq, Hash)]
#[serde(rename_all = "snake_case")]
pub enum State {
    /// It does.
    Live,
    /// It doesn't any more.
    Leaving,
}

/// One reading of the list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Listing {
    /// The hosts.
    pub hosts: Vec<Host>,
    /// Entries that couldn't be read. One faulty entry must not hide the others.
    pub faulty: usize,
}

/// The client of the host list.
#[derive(Clone)]
pub struct HostList {
    service: Service,
}

impl HostList {
    /// A client of the list at `service`.
    #[must_use]
    pub fn new(service: Service) -> Self {
        Self { service }
    }

    /// Reads the list.
    ///
    /// # Errors
    /// [`Error::NotApplied`] or [`Error::Unknown`] when there is no answer.
    pub async fn fetch(&self) -> Result<Listing, Error> {
        #[derive(Deserialize)]
        struct Answer {
            hosts: Vec<Value>,
        }
        let request = Request::get("/v1/hosts");
        let answer: Answer = self
            .service
            .call(request, Repeat::Idempotent, call::json)
            .await?;
        let total = answer.hosts.len();
        let hosts: Vec<Host> = answer
            .hosts
            .iter()
            .filter_map(|it| Host::deserialize(it).ok())
            .collect();
        let faulty = total - hosts.len();
        Ok(Listing { hosts, faulty })
    }
}
