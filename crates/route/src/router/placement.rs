//! Chosen endpoints of attempts.

use std::net::SocketAddr;
use std::time::Duration;

use kernel::{EndpointId, ModelName};

use crate::endpoint::Key;
use crate::rollout::Side;

/// The endpoint that was chosen for an attempt, and the data that the choice was based on.
#[derive(Clone, Debug, PartialEq)]
pub struct Placement {
    /// The endpoint's key in this host's directory.
    pub endpoint: Key,
    /// The endpoint's ID, which the endpoint checks.
    pub id: EndpointId,
    /// The endpoint's address.
    pub address: SocketAddr,
    /// The model, if the route chooses it.
    pub model: Option<ModelName>,
    /// The release that the request is assigned to during a roll-out.
    pub side: Option<Side>,
    /// This host's share of the endpoint's connection limit. It is enforced where the load
    /// policy is [`LoadPolicy::Contended`](crate::LoadPolicy::Contended).
    pub connections: u32,
    /// The number of eligible endpoints.
    pub candidates: usize,
    /// The endpoint's estimated utilization.
    pub utilization: f64,
    /// The age of the endpoint's last load report.
    pub load_age: Option<Duration>,
    /// The age of the listing of endpoints.
    pub listing_age: Option<Duration>,
}
