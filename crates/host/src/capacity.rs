//! Capacity of a host.

use serde::{Deserialize, Serialize};

/// The processor and link of a host, by which hosts choose those that read the store for all and
/// those that callers are sent to. Zero if unknown.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Capacity {
    /// Processor in thousandths of a core.
    pub millicores: u32,
    /// Bandwidth of the link in megabits per second.
    pub link_mbps: u32,
}

impl Capacity {
    /// Returns a measure by which hosts are compared. Both the processor and the link limit how
    /// soon a host has read the store or served a request.
    #[must_use]
    pub fn rating(self) -> u64 {
        u64::from(self.millicores) * u64::from(self.link_mbps)
    }
}
