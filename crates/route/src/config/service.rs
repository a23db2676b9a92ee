//! A service.

use kernel::{ModelName, ServiceName};

use crate::WarmUp;

/// A set of endpoints that do the same work.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// Its name.
    pub name: ServiceName,
    /// The connections that one endpoint takes from all hosts together.
    pub max_connections: u32,
    /// What its endpoints bear after a start, if that is less than usual.
    pub warm_up: Option<WarmUp>,
    /// What its endpoints are if they run models.
    pub engine: Option<Engine>,
}

/// An endpoint that runs models.
#[derive(Clone, Debug, PartialEq)]
pub struct Engine {
    /// Requests that it runs at once.
    pub slots: u32,
    /// Tokens that its memory holds.
    pub memory_tokens: u64,
    /// The models that it has, with their prices.
    pub models: Vec<Model>,
}

/// A model and its price.
#[derive(Clone, Debug, PartialEq)]
pub struct Model {
    /// Its name.
    pub name: ModelName,
    /// The price of 1,000 generated tokens; tokens read cost a quarter of it.
    pub price: f64,
}
