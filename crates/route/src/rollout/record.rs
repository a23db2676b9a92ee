//! A roll-out as the store keeps it for hosts that start while no other host runs.

use std::time::Duration;

use kernel::{Release, ServiceName};

use super::Replaced;
use crate::Revision;

/// A roll-out as the store keeps it, beside its order and its verdict, for hosts that start while no
/// other host runs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Record {
    /// The service.
    pub service: ServiceName,
    /// The release that is rolled out.
    pub release: Release,
    /// The revision of its order.
    pub revision: Revision,
    /// The time since the order was first seen by any host, as far as the host knows that wrote the
    /// record.
    pub elapsed: Duration,
    /// The last roll-out of each release that was ever withdrawn, as far as later orders replaced
    /// it.
    pub replaced: Vec<Replaced>,
}
