//! What the core costs as a function of fleet size, measured on many cores in
//! one process.
//!
//! `cargo xtask capacity` prints the slopes; `docs/design/membership.md`
//! records them.

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

/// Measures a fleet of `hosts` for `seconds` of virtual time, after it has
/// come together.
///
/// Meanwhile the configuration changes now and then, one host in a hundred (at
/// least one) is killed and later replaced, one frame in two hundred is lost,
/// and each host counts evidence of its share of the target's requests. Equal
/// arguments give equal figures but for the processor time.
#[must_use]
pub fn measure(hosts: usize, seconds: u64, seed: u64) -> Figures {
    Workload::new(hosts, seed).run(Duration::from_secs(seconds))
}
