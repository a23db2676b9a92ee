//! The configuration: routes, services, customers and limits.

mod customer;
mod limits;
mod route;
mod service;

use std::collections::HashMap;
use std::sync::Arc;

use kernel::ServiceName;

pub use customer::Customer;
pub use limits::Limits;
pub use route::{Access, Answer, Repeat, Route, Target};
pub use service::{Engine, Model, Service};

/// One version of the configuration, whole.
#[derive(Clone, Debug, Default)]
pub struct Config {
    /// Its version; it only rises.
    pub version: u64,
    /// What callers may send.
    pub limits: Limits,
    services: HashMap<ServiceName, Arc<Service>>,
    customers: Vec<Arc<Customer>>,
    keys: HashMap<String, usize>,
    routes: HashMap<String, HashMap<String, Arc<Route>>>,
}

impl Config {
    /// A configuration of these parts.
    #[must_use]
    pub fn new(
        version: u64,
        limits: Limits,
        services: Vec<Service>,
        customers: Vec<Customer>,
        routes: Vec<Route>,
    ) -> Self {
        let mut config = Self {
            version,
            limits,
            ..Self::default()
        };
        for it in services {
            config.services.insert(it.name.clone(), Arc::new(it));
        }
        for (idx, it) in customers.into_iter().enumerate() {
            for key in &it.keys {
                config.keys.insert(key.clone(), idx);
            }
            config.customers.push(Arc::new(it));
        }
        for it in routes {
            let host = config.routes.entry(it.host.clone()).or_default();
            host.insert(it.prefix.clone(), Arc::new(it));
        }
        config
    }

    /// The route of this host with the longest prefix of `path`.
    ///
    /// Prefixes end with a slash, so that one look-up for each slash in the path
    /// finds it among any number of routes.
    #[must_use]
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let routes = self.routes.get(host)?;
        path.rmatch_indices('/')
            .find_map(|(at, _)| routes.get(&path[..=at]))
    }

    /// The customer that holds `key`.
    #[must_use]
    pub fn customer(&self, key: &str) -> Option<&Arc<Customer>> {
        self.keys.get(key).map(|&idx| &self.customers[idx])
    }

    /// Whether requests need a key.
    #[must_use]
    pub fn has_customers(&self) -> bool {
        !self.customers.is_empty()
    }

    /// The service with this name.
    #[must_use]
    pub fn service(&self, name: &ServiceName) -> Option<&Arc<Service>> {
        self.services.get(name)
    }

    /// All services.
    pub fn services(&self) -> impl Iterator<Item = &Arc<Service>> {
        self.services.values()
    }

    /// How many routes there are.
    #[must_use]
    pub fn route_count(&self) -> usize {
        self.routes.values().map(HashMap::len).sum()
    }
}
