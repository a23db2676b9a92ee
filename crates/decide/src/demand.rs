//! What hosts tell each other of their customers' demand.

use derive_more::AddAssign;
use kernel::{Customer, HostName};
use serde::{Deserialize, Serialize};

/// The demand that one host sees. The newest of each host counts, for some seconds.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Demand {
    /// The host.
    pub host: HostName,
    /// Requests a second that arrive there, by customer.
    pub rates: Vec<Rate>,
}

/// The demand of one customer at one host.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Rate {
    /// The customer.
    pub customer: Customer,
    /// Requests for answers.
    pub chat: Flow,
    /// Calls of plain services, which have limits of their own.
    pub calls: Flow,
}

/// How much of one kind of work arrives and is under way.
#[derive(Clone, Copy, Debug, Default, AddAssign, PartialEq, Serialize, Deserialize)]
pub struct Flow {
    /// Arrivals a second, refused ones included.
    pub rate: f64,
    /// Requests in flight or waiting.
    pub in_flight: f64,
}

impl Flow {
    /// Whether next to nothing comes and nothing is under way.
    pub(crate) fn is_idle(&self) -> bool {
        const NOTHING: f64 = 0.001;
        self.rate < NOTHING && self.in_flight < NOTHING
    }
}
