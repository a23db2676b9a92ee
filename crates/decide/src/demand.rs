//! What hosts tell each other of their customers' demand.

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
    /// Requests a second, refused ones included.
    pub rate: f32,
    /// Requests in flight or waiting.
    pub in_flight: u32,
}
