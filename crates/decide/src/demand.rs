//! Customer demand, as exchanged between hosts.

use derive_more::AddAssign;
use kernel::{Customer, HostName};
use serde::{Deserialize, Serialize};

/// The demand at one host. Other hosts use its last report for a few seconds.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Demand {
    /// The reporting host.
    pub host: HostName,
    /// The demand by customer.
    pub rates: Vec<Rate>,
}

/// The demand of one customer at one host.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Rate {
    /// The customer.
    pub customer: Customer,
    /// Model requests.
    pub chat: Flow,
    /// Calls of plain services, which have separate limits.
    pub calls: Flow,
}

/// The arrival rate and the outstanding requests of one kind.
#[derive(Clone, Copy, Debug, Default, AddAssign, PartialEq, Serialize, Deserialize)]
pub struct Flow {
    /// Arrivals per second, including refused requests.
    pub rate: f64,
    /// Requests in flight or queued.
    pub in_flight: f64,
}

impl Flow {
    /// Returns whether the arrival rate and the outstanding requests are negligible.
    pub(crate) fn is_idle(&self) -> bool {
        const NEGLIGIBLE: f64 = 0.001;
        self.rate < NEGLIGIBLE && self.in_flight < NEGLIGIBLE
    }
}
