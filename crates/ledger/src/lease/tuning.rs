//! The times of a lease.

use std::time::Duration;

/// The times of a lease, the same on every host.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Tuning {
    /// How long the holder may act after it began a renewal that succeeded.
    pub length: Duration,
    /// By how much the holder stops earlier and the next one waits longer, so
    /// that clocks that run at slightly different speeds do no harm.
    pub margin: Duration,
    /// How long after a renewal the holder begins the next one, and how often
    /// a candidate reads the row.
    pub renew_every: Duration,
    /// How long an order may be on its way before its connection is given up.
    pub order_bound: Duration,
}

impl Default for Tuning {
    fn default() -> Self {
        Self {
            length: Duration::from_secs(15),
            margin: Duration::from_secs(1),
            renew_every: Duration::from_secs(4),
            order_bound: Duration::from_secs(5),
        }
    }
}
