//! The list of live and leaving hosts.

use std::net::SocketAddr;

use http::{Request, RetryPolicy};
use kernel::{DataCentre, HostName, Incarnation, Region, ServiceName, VersionId};
use serde::Deserialize;
use serde_json::Value;

use crate::{Error, Service, response};

/// An entry of the host list, which may be out of date.
#[derive(Clone, Debug, Deserialize, PartialEq, Eq)]
pub struct Host {
    /// Name of the host.
    pub name: HostName,
    /// Kind of process that runs on the host.
    pub kind: Kind,
    /// Incarnation of the process; a replacement has the same name and another
    /// incarnation.
    pub incarnation: Incarnation,
    /// Address for requests.
    pub address: SocketAddr,
    /// Address at which an entry host accepts messages from other entry hosts.
    #[serde(default)]
    pub fleet_address: Option<SocketAddr>,
    /// Data centre of the host.
    pub data_centre: DataCentre,
    /// Region of the host.
    pub region: Region,
    /// Whether the host accepts new work.
    pub state: State,
    /// Name of the service that runs on a host of kind [`Kind::Service`].
    #[serde(default)]
    pub service: Option<ServiceName>,
    /// Versions that an engine may load.
    #[serde(default)]
    pub versions: Vec<VersionId>,
    /// Whether the host rejects requests with a fencing number lower than the
    /// highest that it has seen.
    #[serde(default)]
    pub fences: bool,
}

/// Kind of process that runs on a host.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq, Hash)]
#[serde(rename_all = "snake_case")]
pub enum Kind {
    /// An entry host, which runs this software.
    Entry,
    /// A model engine.
    Engine,
    /// A service other than a model engine.
    Service,
}

/// Whether a host accepts new work.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq, Hash)]
#[serde(rename_all = "snake_case")]
pub enum State {
    /// Accepts new work.
    Live,
    /// No longer accepts new work.
    Leaving,
}

/// Result of reading the host list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Listing {
    /// The entries that could be parsed.
    pub hosts: Vec<Host>,
    /// Number of entries that couldn't be parsed. They are skipped, so that a
    /// faulty entry doesn't hide the others.
    pub faulty: usize,
}

/// Client of the host list.
#[derive(Clone)]
pub struct HostList {
    service: Service,
}

impl HostList {
    /// Creates a client that calls `service`.
    #[must_use]
    pub fn new(service: Service) -> Self {
        Self { service }
    }

    /// Reads the list.
    ///
    /// # Errors
    /// [`Error::NotApplied`] or [`Error::Unknown`] when the list can't be read.
    pub async fn fetch(&self) -> Result<Listing, Error> {
        #[derive(Deserialize)]
        struct HostsResponse {
            hosts: Vec<Value>,
        }
        let request = Request::get("/v1/hosts");
        let response: HostsResponse = self
            .service
            .call(request, RetryPolicy::Idempotent, response::parse_success)
            .await?;
        let total = response.hosts.len();
        let hosts: Vec<Host> = response
            .hosts
            .iter()
            .filter_map(|it| Host::deserialize(it).ok())
            .collect();
        let faulty = total - hosts.len();
        Ok(Listing { hosts, faulty })
    }
}
