//! Services.

use kernel::{ModelName, ServiceName};

use crate::WarmUp;

/// A service: a pool of interchangeable endpoints.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// The service's name.
    pub name: ServiceName,
    /// The maximum number of connections to an endpoint from all hosts together.
    pub max_connections: u32,
    /// The limits for cold endpoints, if there are any.
    pub warm_up: Option<WarmUp>,
    /// The properties of its endpoints, if they run models.
    pub engine: Option<Engine>,
}

/// The properties of endpoints that run models.
#[derive(Clone, Debug, PartialEq)]
pub struct Engine {
    /// The number of requests that an endpoint can run concurrently.
    pub slots: u32,
    /// The number of tokens that an endpoint's memory holds.
    pub memory_tokens: u64,
    /// The available models, with their prices.
    pub models: Vec<Model>,
}

/// A model and its price.
#[derive(Clone, Debug, PartialEq)]
pub struct Model {
    /// The model's name.
    pub name: ModelName,
    /// The price of 1,000 generated tokens. Prompt tokens cost a quarter of it.
    pub price: f64,
}
