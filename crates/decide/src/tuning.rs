//! The constants of the decisions.

use std::time::Duration;

use kernel::HostName;

/// The constants of the decisions. The defaults are the ones that were measured.
#[derive(Clone, Debug)]
pub struct Tuning {
    /// This host's name, which chooses its subset of the endpoints.
    pub host: HostName,
    /// How often the driver sends `Tick`.
    pub tick: Duration,
}

impl Default for Tuning {
    fn default() -> Self {
        Self {
            host: HostName::from("host"),
            tick: Duration::from_millis(100),
        }
    }
}
