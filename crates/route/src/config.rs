//! Configuration: routes, services, customers and limits.

mod customer;
mod limits;
mod route;
mod service;

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use kernel::ServiceName;

pub use customer::Customer;
pub use limits::Limits;
pub use route::{ResponseKind, RetryPolicy, Route, RouteAccess, Target};
pub use service::{Engine, Model, Service};

/// A complete version of the configuration.
#[derive(Clone, Debug, Default)]
pub struct Config {
    /// The version, which increases with each change.
    pub version: u64,
    /// Limits on callers' requests and connections.
    pub limits: Limits,
    services: HashMap<ServiceName, Arc<Service>>,
    customers: Vec<Arc<Customer>>,
    keys: HashMap<String, usize>,
    routes: HashMap<String, HashMap<String, Arc<Route>>>,
    /// The shortest target latency of the streaming routes to a service.
    min_target_latencies: HashMap<ServiceName, Duration>,
}

impl Config {
    /// Creates a configuration and its lookup tables.
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
            config.record_target_latency(&it);
            let host = config.routes.entry(it.host.clone()).or_default();
            host.insert(it.prefix.clone(), Arc::new(it));
        }
        config
    }

    fn record_target_latency(&mut self, route: &Route) {
        for target in route.targets.iter().filter(|_| route.is_stream()) {
            let shortest = self.min_target_latencies.entry(target.service.clone());
            let shortest = shortest.or_insert(route.target_latency);
            *shortest = route.target_latency.min(*shortest);
        }
    }

    /// Returns the shortest target latency of the streaming routes to a service.
    pub(crate) fn min_target_latency(&self, service: &ServiceName) -> Option<Duration> {
        self.min_target_latencies.get(service).copied()
    }

    /// Returns the route of `host` whose prefix is the longest that matches `path`.
    ///
    /// Prefixes end with a slash, so this takes one lookup per slash in the path,
    /// whatever the number of routes.
    #[must_use]
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let routes = self.routes.get(host)?;
        path.rmatch_indices('/')
            .find_map(|(at, _)| routes.get(&path[..=at]))
    }

    /// Returns the customer that `key` belongs to.
    #[must_use]
    pub fn customer(&self, key: &str) -> Option<&Arc<Customer>> {
        self.keys.get(key).map(|&idx| &self.customers[idx])
    }

    /// Returns the service with this name.
    #[must_use]
    pub fn service(&self, name: &ServiceName) -> Option<&Arc<Service>> {
        self.services.get(name)
    }

    /// Returns all services.
    pub fn services(&self) -> impl Iterator<Item = &Arc<Service>> {
        self.services.values()
    }

    /// Returns the number of routes.
    #[must_use]
    pub fn route_count(&self) -> usize {
        self.routes.values().map(HashMap::len).sum()
    }
}
