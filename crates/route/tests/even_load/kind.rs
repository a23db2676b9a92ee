//! Kinds of requests.

use std::time::Duration;

use route::config::{ResponseKind, RetryPolicy, Route, RouteAccess, Target};

use crate::customer::Customer;
use crate::endpoint::{MODELS, decode_seconds};

/// The fraction of responses of the smallest model with low confidence.
pub(crate) const UNSURE_FRACTION: f64 = 0.5;

/// The kinds of requests that ask models (docs/design/hard-load.md).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Kind {
    Long,
    Short,
    Tag,
}

impl Kind {
    pub(crate) const ALL: [Self; 3] = [Self::Long, Self::Short, Self::Tag];

    /// Returns the requests per second.
    pub(crate) fn rate(self, customer: Customer) -> f64 {
        match (customer, self) {
            (Customer::Voicemail, Self::Long) => 98.0,
            (Customer::Voicemail, Self::Short) => 122.0,
            (Customer::Voicemail, Self::Tag) => 168.0,
            (Customer::Courier, Self::Long) => 109.0,
            (Customer::Courier, Self::Short) => 105.0,
            (Customer::Courier, Self::Tag) => 219.0,
        }
    }

    /// Returns the mean number of tokens in a prompt.
    pub(crate) fn mean_tokens(self) -> f64 {
        match self {
            Self::Long => 12_000.0,
            Self::Short => 826.0,
            Self::Tag => 2_368.0,
        }
    }

    pub(crate) fn events(self, customer: Customer) -> u32 {
        match (customer, self) {
            (Customer::Voicemail, Self::Long) => 42,
            (Customer::Voicemail, Self::Short) => 32,
            (Customer::Voicemail, Self::Tag) => 3,
            (Customer::Courier, Self::Long) => 38,
            (Customer::Courier, Self::Short) => 29,
            (Customer::Courier, Self::Tag) => 2,
        }
    }

    /// Returns the time within which the first event is on time.
    pub(crate) fn target(self, customer: Customer) -> Duration {
        Duration::from_millis(match (customer, self) {
            (Customer::Voicemail, Self::Long) => 6_000,
            (Customer::Voicemail, Self::Short) => 1_500,
            (Customer::Voicemail, Self::Tag) | (Customer::Courier, Self::Long) => 2_000,
            (Customer::Courier, Self::Short | Self::Tag) => 1_000,
        })
    }

    /// Returns the time until a response is complete at the latest.
    fn timeout(self, customer: Customer) -> Duration {
        Duration::from_secs(match (customer, self) {
            (Customer::Voicemail, Self::Long) => 20,
            (Customer::Courier, Self::Long) | (_, Self::Short) => 15,
            (Customer::Voicemail, Self::Tag) => 5,
            (Customer::Courier, Self::Tag) => 4,
        })
    }

    fn priority(self) -> u8 {
        match self {
            Self::Short => 0,
            Self::Long => 1,
            Self::Tag => 2,
        }
    }

    pub(crate) fn path(self) -> &'static str {
        match self {
            Self::Long => "/long/",
            Self::Short => "/short/",
            Self::Tag => "/tag/",
        }
    }

    /// Returns the seconds that an endpoint of usual speed with full batches takes for a request,
    /// if nothing is cached.
    pub(crate) fn work(self, customer: Customer) -> f64 {
        let [smallest, .., largest] = MODELS.map(|it| it.1);
        let prefill = self.mean_tokens() * (smallest + UNSURE_FRACTION * largest);
        prefill + f64::from(self.events(customer)) * decode_seconds(customer)
    }

    pub(crate) fn route(self, customer: Customer) -> Route {
        Route {
            name: self.path().into(),
            host: "shop".to_owned(),
            prefix: self.path().to_owned(),
            targets: vec![Target {
                service: "pool".into(),
                weight: 1.0,
            }],
            retry_policy: RetryPolicy::Idempotent,
            response: ResponseKind::Stream {
                pause: Duration::from_millis(1_500),
            },
            attempts: 3,
            timeout: self.timeout(customer),
            target_latency: self.target(customer),
            priority: self.priority(),
            access: RouteAccess::Public,
            models: MODELS.map(|it| it.0.into()).to_vec(),
        }
    }
}
