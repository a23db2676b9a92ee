//! The choice between a route's models.

use std::time::Duration;

/// The fraction of a response's value that remains if it is late, and if it is wrong.
const LATE: f64 = 0.3;
const POOR: f64 = 0.05;
/// The probability that the largest model's response is right.
const LARGEST: f64 = 0.97;
/// The value of a right response relative to the price of the largest model's, indexed by
/// priority. Priorities past the end use the last value.
const WORTH: [f64; 3] = [7.0, 7.0, 2.5];
/// The cost of the capacity that the largest model's response takes from other requests at
/// full utilization, relative to that response's price. See `docs/design/deciding.md`.
const CROWDED: f64 = 5.0;
/// The midpoint and scale of the logistic function that maps a model's confidence, from 0
/// to 100, to the probability that its response is right. The mapping is steep, since
/// confidence tells little more than on which side of the midpoint a request is. See
/// `docs/design/deciding.md`.
const EVEN: f64 = 50.0;
const SPREAD: f64 = 6.0;

/// A model cascade: the model of a route to ask for a request.
///
/// The smallest model is asked first: it is the cheapest, and its confidence comes with
/// the first token, before the caller has received any of the response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Cascade {
    models: usize,
    current: usize,
}

/// The inputs of the decision whether to ask the largest model.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Doubt {
    /// The model's confidence in its response, from 0 to 100.
    pub confidence: u8,
    /// The request's priority; 0 is the most urgent.
    pub priority: u8,
    /// How long the caller has waited so far.
    pub waited: Duration,
    /// The expected time until the largest model's response starts.
    pub larger_takes: Duration,
    /// The time within which a response has its full value.
    pub aim: Duration,
    /// The service's utilization.
    pub used: f64,
}

impl Cascade {
    /// Creates a cascade of `models` models that starts at the smallest.
    #[must_use]
    pub fn new(models: usize) -> Self {
        Self { models, current: 0 }
    }

    /// Returns the index of the model to ask, or `None` if the route has no models.
    #[must_use]
    pub fn model(&self) -> Option<usize> {
        (self.models > 0).then_some(self.current)
    }

    /// Returns whether there is a larger model.
    #[must_use]
    pub fn has_larger(&self) -> bool {
        self.current + 1 < self.models
    }

    /// Switches to the largest model.
    pub fn escalate(&mut self) {
        self.current = self.models.saturating_sub(1);
    }
}

impl Doubt {
    /// Returns whether the expected gain from the largest model exceeds its price.
    #[must_use]
    pub fn is_worth_more(&self) -> bool {
        let sure = likely(self.confidence);
        let now = timely(self.waited, self.aim) * (sure + (1.0 - sure) * POOR);
        let then = timely(self.waited + self.larger_takes, self.aim) * LARGEST;
        let rank = usize::from(self.priority).min(WORTH.len() - 1);
        let price = 1.0 + CROWDED * self.used.clamp(0.0, 1.0);
        (then - now) * WORTH[rank] > price
    }
}

/// Returns the probability that a response with this confidence is right.
fn likely(confidence: u8) -> f64 {
    let odds = ((f64::from(confidence) - EVEN) / SPREAD).exp();
    odds / (1.0 + odds)
}

/// Returns the expected fraction of its value that a response keeps if it is expected to
/// start `after` the request. Allows for errors of the estimate in both directions.
fn timely(after: Duration, aim: Duration) -> f64 {
    const OFF: f64 = 0.25;
    let late = (after.div_duration_f64(aim) - (1.0 - OFF)) / (2.0 * OFF);
    1.0 - (1.0 - LATE) * late.clamp(0.0, 1.0)
}
