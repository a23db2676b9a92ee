//! Where attempts go.

use std::net::SocketAddr;
use std::time::Duration;

use kernel::{EndpointId, ModelName};

use crate::endpoint::Key;
use crate::rollout::Side;

/// Where an attempt goes.
#[derive(Clone, Debug, PartialEq)]
pub struct Placement {
    /// What this host calls the attempt's endpoint.
    pub endpoint: Key,
    /// The endpoint's identity, which it checks.
    pub id: EndpointId,
    /// Where it listens.
    pub address: SocketAddr,
    /// The model, where the route chooses it.
    pub model: Option<ModelName>,
    /// The release, while a roll-out is under way.
    pub side: Option<Side>,
    /// Connections that this host may have to it.
    pub connections: u32,
    /// How many of the candidates could have taken it.
    pub candidates: usize,
    /// The part of the endpoint's places that was believed to be taken.
    pub used: f64,
    /// How old the endpoint's own report of its load was.
    pub load_age: Option<Duration>,
    /// How old the listing was in which the endpoint stood.
    pub listing_age: Option<Duration>,
}
