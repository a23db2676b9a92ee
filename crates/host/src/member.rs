//! Identity and addresses of a host.

use std::net::SocketAddr;

use kernel::{DataCentre, HostName, Region};
use serde::{Deserialize, Serialize};

use crate::Capacity;
use crate::addresses::Address;

/// The name, addresses and location of a host.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Member {
    /// Unique name.
    pub name: HostName,
    /// Address for callers.
    pub front: SocketAddr,
    /// Address for other hosts.
    pub link: SocketAddr,
    /// Data centre in which the host runs.
    pub data_centre: DataCentre,
    /// Region in which the host runs.
    pub region: Region,
    /// Processor and link of the host.
    pub capacity: Capacity,
}

impl Member {
    /// Returns the host's address for callers with its location.
    pub(crate) fn address(&self) -> Address {
        Address {
            front: self.front,
            data_centre: self.data_centre.clone(),
            region: self.region.clone(),
            capacity: self.capacity,
        }
    }
}
