//! Kinds of requests.

use std::time::Duration;

use route::config::{ResponseKind, RetryPolicy, Route, RouteAccess, Target};

use crate::endpoint::{MODELS, decode_seconds};

/// The fraction of responses of the smallest model with low confidence.
pub(crate) const UNSURE_FRACTION: f64 = 0.5;

/// The kinds of requests of the first customer that ask models (docs/design/hard-load.md).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Kind {
    Long,
    Short,
    Tag,
}

impl Kind {
    pub(crate) const ALL: [Self; 3] = [Self::Long, Self::Short, Self::Tag];

    /// Returns the requests per second.
    pub(crate) fn rate(self) -> f64 {
        match self {
            Self::Long => 98.0,
            Self::Short => 122.0,
            Self::Tag => 168.0,
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

    pub(crate) fn events(self) -> u32 {
        match self {
            Self::Long => 42,
            Self::Short => 32,
            Self::Tag => 3,
        }
    }

    /// Returns the time within which the first event is on time.
    pub(crate) fn target(self) -> Duration {
        Duration::from_millis(match self {
            Self::Long => 6_000,
            Self::Short => 1_500,
            Self::Tag => 2_000,
        })
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
    pub(crate) fn work(self) -> f64 {
        let [smallest, .., largest] = MODELS.map(|it| it.1);
        let prefill = self.mean_tokens() * (smallest + UNSURE_FRACTION * largest);
        prefill + f64::from(self.events()) * decode_seconds()
    }

    pub(crate) fn route(self) -> Route {
        let (timeout, priority) = match self {
            Self::Long => (20, 1),
            Self::Short => (15, 0),
            Self::Tag => (5, 2),
        };
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
            timeout: Duration::from_secs(timeout),
            target_latency: self.target(),
            priority,
            access: RouteAccess::Public,
            models: MODELS.map(|it| it.0.into()).to_vec(),
        }
    }
}
