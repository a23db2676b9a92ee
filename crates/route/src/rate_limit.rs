//! Request rates that endpoints state in their responses.

use std::time::Duration;

use derive_more::Display;
use serde::{Deserialize, Serialize};

/// The requests per second that an endpoint takes from all hosts together.
#[derive(Clone, Copy, Debug, Display, PartialEq, PartialOrd, Serialize, Deserialize)]
pub struct RequestRate(f64);

impl RequestRate {
    /// Creates a rate in requests per second; `None` if it is negative or not finite.
    #[must_use]
    pub fn per_second(rate: f64) -> Option<Self> {
        (rate.is_finite() && rate >= 0.0).then_some(Self(rate))
    }
}

/// A change of the rate that an endpoint states.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Change {
    /// It states this rate from now on.
    Stated(RequestRate),
    /// It states none any more.
    Lifted,
}

/// The rate that an endpoint states, as far as this host knows.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct RateLimit {
    rate: Option<RequestRate>,
    /// The time at which this host learned of the rate, or that there is none any more.
    changed_at: Duration,
}

impl RateLimit {
    /// Returns the rate that the endpoint states.
    pub(crate) fn rate(&self) -> Option<RequestRate> {
        self.rate
    }

    /// Records what the response to a request sent at `sent_at` states, and returns the change.
    ///
    /// A response without a rate lifts the limit only if its request was sent after this host
    /// learned of the limit: responses overtake each other.
    pub(crate) fn record(
        &mut self,
        now: Duration,
        sent_at: Duration,
        stated: Option<RequestRate>,
    ) -> Option<Change> {
        let change = match (self.rate, stated) {
            (before, after) if before == after => return None,
            (_, Some(rate)) => Change::Stated(rate),
            (_, None) if sent_at <= self.changed_at => return None,
            (_, None) => Change::Lifted,
        };
        self.rate = stated;
        self.changed_at = now;
        Some(change)
    }
}
