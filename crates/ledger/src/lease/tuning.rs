//! Timing parameters of a lease.

use std::time::Duration;

/// Timing parameters of a lease, the same on every host.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Tuning {
    /// Duration of the lease, counted from when the holder sent its last successful renewal.
    pub duration: Duration,
    /// Safety margin for clocks that run at different speeds. The holder stops earlier by this
    /// time, and the next holder waits longer.
    pub margin: Duration,
    /// Interval between the holder's renewals, and between a candidate's reads of the row.
    pub renew_interval: Duration,
    /// Timeout of an order, after which its connection is closed.
    pub order_timeout: Duration,
}

impl Default for Tuning {
    fn default() -> Self {
        Self {
            duration: Duration::from_secs(15),
            margin: Duration::from_secs(1),
            renew_interval: Duration::from_secs(4),
            order_timeout: Duration::from_secs(5),
        }
    }
}
