//! Requests of one kind from a customer's callers.

use std::time::Duration;

use route::config::{ResponseKind, Route};

use crate::endpoint::{MODELS, decode_seconds};
use crate::kind::Kind;

/// The fraction of responses of the smallest model with low confidence.
pub(crate) const UNSURE_FRACTION: f64 = 0.5;

/// What a customer's callers ask for with requests of one kind.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Demand {
    pub(crate) kind: Kind,
    /// Requests per second.
    pub(crate) rate: f64,
    /// The events of a response.
    pub(crate) events: u32,
    /// The time within which the first event is on time.
    pub(crate) target: Duration,
    /// The time within which the response must be complete.
    pub(crate) timeout: Duration,
}

impl Demand {
    /// Returns the seconds that an endpoint of usual speed with full batches takes for a request,
    /// if nothing is cached.
    pub(crate) fn work(&self, slots: u32) -> f64 {
        let [smallest, .., largest] = MODELS.map(|it| it.1);
        let prefill = self.kind.mean_tokens() * (smallest + UNSURE_FRACTION * largest);
        prefill + f64::from(self.events) * decode_seconds(slots)
    }

    /// Returns the route of its requests, with other properties as those of `base`.
    pub(crate) fn route(&self, base: &Route) -> Route {
        Route {
            name: self.kind.path().into(),
            prefix: self.kind.path().to_owned(),
            response: ResponseKind::Stream {
                pause: Duration::from_millis(1_500),
            },
            timeout: self.timeout,
            target_latency: self.target,
            priority: self.kind.priority(),
            models: MODELS.map(|it| it.0.into()).to_vec(),
            ..base.clone()
        }
    }
}
