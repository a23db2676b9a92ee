//! Reasons for refusing a request for lack of capacity.

use std::time::Duration;

/// The reason that a request is refused for lack of capacity.
#[derive(Clone, Copy, Debug, PartialEq, Eq, derive_more::Display)]
pub enum Shortage {
    /// No endpoint is expected to start the request before its deadline.
    #[display("no_capacity")]
    NoCapacity {
        /// The expected time until an endpoint would start it.
        wait: Duration,
    },
    /// The customer has used its share of a service that is short of capacity.
    #[display("over_share")]
    OverShare {
        /// The customer's requests that were recently admitted.
        admitted: u32,
        /// The number of them from which further ones are refused.
        allowed: u32,
    },
    /// The request was retried before its `Retry-After` had passed, while capacity is short.
    #[display("early_retry")]
    EarlyRetry,
}

impl Shortage {
    /// All variants.
    pub const ALL: [Self; 3] = [
        Self::NoCapacity {
            wait: Duration::ZERO,
        },
        Self::OverShare {
            admitted: 0,
            allowed: 0,
        },
        Self::EarlyRetry,
    ];
}
