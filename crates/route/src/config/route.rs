//! Routes.

use std::sync::Arc;
use std::time::Duration;

use kernel::{ModelName, ServiceName};

/// The handling of requests with a certain host name and path prefix.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// The route's name.
    pub name: Arc<str>,
    /// The host name that it matches, in lower case and without a port.
    pub host: String,
    /// The path prefix that it matches; it begins and ends with a slash.
    pub prefix: String,
    /// The services that requests are distributed over.
    pub targets: Vec<Target>,
    /// Whether a request may run more than once.
    pub retry_policy: RetryPolicy,
    /// The kind of response.
    pub response: ResponseKind,
    /// The maximum number of attempts per request, without those that ended before anything was
    /// sent.
    pub attempts: u32,
    /// The maximum time until a response is complete.
    pub timeout: Duration,
    /// The time within which a response has its full value; for a stream, the time to its
    /// first event.
    pub target_latency: Duration,
    /// The priority of its requests; 0 is the most urgent.
    pub priority: u8,
    /// Who may use the route.
    pub access: RouteAccess,
    /// The models to choose from, smallest first. Empty if the route doesn't choose
    /// the model.
    pub models: Vec<ModelName>,
}

/// A service that receives a share of a route's requests.
#[derive(Clone, Debug, PartialEq)]
pub struct Target {
    /// The service.
    pub service: ServiceName,
    /// The service's share relative to the weights of the other targets.
    pub weight: f64,
}

/// Whether a request may run more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryPolicy {
    /// It may: a second run has no further effect.
    Idempotent,
    /// It must not run again once it may have run.
    AtMostOnce,
}

/// The kind of response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ResponseKind {
    /// A single body.
    Whole,
    /// A stream of events.
    Stream {
        /// The longest pause between two events that counts as on time.
        pause: Duration,
    },
}

/// Who may use a route.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RouteAccess {
    /// Everyone.
    Public,
    /// Customers with a valid key; nobody while no customers are configured.
    Keyed,
}

impl Route {
    /// Returns whether the response is a stream.
    #[must_use]
    pub fn is_stream(&self) -> bool {
        matches!(self.response, ResponseKind::Stream { .. })
    }

    /// Returns the service for a request by weight. `number` is from 0 to 1 and derived from
    /// the request or its session, so that a session always gets the same service.
    #[must_use]
    pub fn service(&self, number: f64) -> Option<&ServiceName> {
        let total: f64 = self.targets.iter().map(|it| it.weight).sum();
        let mut left = number * total;
        for it in &self.targets {
            left -= it.weight;
            if left < 0.0 {
                return Some(&it.service);
            }
        }
        self.targets.last().map(|it| &it.service)
    }
}
