//! Profiles and priorities.

use std::time::Duration;

use kernel::{Money, ProfileName};

use crate::key;

/// The quality, cost and latency objectives of the requests that name this profile.
#[derive(Clone, Debug)]
pub struct Profile {
    /// The name, which identifies it across revisions.
    pub name: ProfileName,
    /// The customers that may use it, each with its versions. Customers without an
    /// entry may not use it.
    pub allowed: Vec<Allowance>,
    /// The share of responses (0 to 1) that must be good.
    pub target: f64,
    /// The maximum cost of one request over its complete responses. Before each
    /// attempt, an upper estimate of its cost is added to the cost so far.
    pub cap: Option<Money>,
    /// Whether requests may run more than once.
    pub retry_policy: RetryPolicy,
    /// The priority of requests that do not specify one.
    pub priority: Priority,
    /// The time limit from arrival if the caller sets no deadline.
    pub deadline: Duration,
}

/// The versions that one customer may use through a profile.
#[derive(Clone, Debug)]
pub struct Allowance {
    /// The customer.
    pub customer: key::Customer,
    /// The versions, in any order.
    pub versions: Vec<key::Version>,
}

/// Whether a request may run more than once.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub enum RetryPolicy {
    /// Running it more than once is harmless.
    #[default]
    Idempotent,
    /// It is not sent again once it may have run.
    AtMostOnce,
}

/// The precedence of requests that wait for the same endpoints.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Priority {
    /// Someone is waiting on the spot, for example at a ticket gate or a counter.
    Urgent,
    /// A person is waiting for the response.
    #[default]
    Interactive,
    /// Nobody is waiting for the response.
    Batch,
}

impl Priority {
    /// All priorities, highest first.
    pub const ALL: [Self; 3] = [Self::Urgent, Self::Interactive, Self::Batch];

    /// Returns the index in [`Self::ALL`].
    #[must_use]
    pub fn index(self) -> usize {
        match self {
            Self::Urgent => 0,
            Self::Interactive => 1,
            Self::Batch => 2,
        }
    }
}
