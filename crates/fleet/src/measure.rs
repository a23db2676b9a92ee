//! Measures the cost of the membership core as a function of fleet size, by
//! simulating a whole fleet in one process.
//!
//! `cargo xtask capacity` prints how the cost grows with the fleet;
//! `docs/design/membership.md` records it.

mod fakes;
mod figures;
mod incident;
mod network;
mod traffic;
mod workload;

pub use fakes::Table;
pub use figures::Figures;
pub use incident::{Cost, Incident, incident};
pub use network::{Network, Observed};
pub use traffic::Traffic;

use std::time::Duration;

use self::workload::Workload;

/// Measures a fleet of `hosts` for `seconds` of virtual time, after a warm-up
/// in which its hosts discover each other.
///
/// During the measurement the configuration changes a few times, one host in a
/// hundred (at least one) is killed, frames are lost at random, and each host
/// produces evidence for its share of the requests. Equal arguments give equal
/// figures except for the processor time.
#[must_use]
pub fn measure(hosts: usize, seconds: u64, seed: u64) -> Figures {
    Workload::new(hosts, seed).run(Duration::from_secs(seconds))
}
