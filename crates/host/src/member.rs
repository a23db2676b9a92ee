//! A host, as the others see it.

use std::net::SocketAddr;

use kernel::{DataCentre, HostName, Region};
use serde::{Deserialize, Serialize};

use crate::addresses::Address;

/// A host, as the others see it.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Member {
    /// Its name.
    pub name: HostName,
    /// Where callers reach it.
    pub front: SocketAddr,
    /// Where other hosts reach it.
    pub link: SocketAddr,
    /// Its data centre.
    pub data_centre: DataCentre,
    /// Its region.
    pub region: Region,
}

impl Member {
    /// Where callers reach it.
    pub(crate) fn address(&self) -> Address {
        Address {
            front: self.front,
            data_centre: self.data_centre.clone(),
            region: self.region.clone(),
        }
    }
}
