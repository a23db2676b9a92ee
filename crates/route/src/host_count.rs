//! The number of hosts that share bounds.

/// The number of hosts that a host knows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HostCount {
    /// Hosts that are known to run, including this one.
    pub live: u32,
    /// Hosts that don't respond. They may have ended, or run on the other side of a network
    /// partition.
    pub silent: u32,
}

impl HostCount {
    /// Returns the number of hosts that may be using their parts of a shared bound. Divided by the
    /// live ones alone, the bound would be exceeded in a network partition: each side would use
    /// the whole of it.
    pub(crate) fn sharing(self) -> u32 {
        self.live.saturating_add(self.silent).max(1)
    }
}
