//! The choice between a route's models.

use std::time::Duration;

/// The fraction of its value that a late response keeps. The deployments' price lists have 0.29 to
/// 0.31.
const LATE_VALUE: f64 = 0.3;
/// The fraction of its value that a wrong response keeps. The deployments' price lists have 0.05.
const WRONG_VALUE: f64 = 0.05;
/// The probability that the largest model's response is right.
const LARGEST_ACCURACY: f64 = 0.97;
/// The value of a right response relative to the price of the largest model's, indexed by priority.
/// Priorities past the end use the last value. From the deployments' price lists: 6.4 to 7.6 for
/// the first two, 2.4 and 2.7 for the third.
const VALUE_BY_PRIORITY: [f64; 3] = [7.0, 7.0, 2.5];
/// The cost of the capacity that the largest model's response takes from other requests at full
/// utilization, relative to that response's price. See `docs/design/deciding.md`. A price of 10
/// keeps wrong responses at endpoints with few slots while nothing is late.
const CAPACITY_PRICE: f64 = 5.0;
/// The midpoint and scale of the logistic function that maps a model's confidence, from 0 to 100,
/// to the probability that its response is right. See `docs/design/deciding.md`. Confidence tells
/// on which side of what the model can do a request lies, and hardly by how much: three in ten of
/// the smallest model's responses have a confidence of 50 to 90, and if it were taken for the
/// probability itself, most of them would be asked again in vain.
const CONFIDENCE_MIDPOINT: f64 = 50.0;
const CONFIDENCE_SCALE: f64 = 6.0;

/// A model cascade: the model of a route to ask for a request.
///
/// The smallest model is asked first: it is the cheapest, and its confidence is in the head of
/// the response, before the caller has received any of it.
///
/// The smallest model's response costs about a fifteenth of the largest's.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Cascade {
    models: usize,
    current: usize,
}

/// The inputs of the decision whether to ask the largest model.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Escalation {
    /// The model's confidence in its response, from 0 to 100.
    pub confidence: u8,
    /// The request's priority; 0 is the most urgent.
    pub priority: u8,
    /// The time since the request arrived.
    pub waited: Duration,
    /// The expected time until the largest model's response starts.
    pub expected_latency: Duration,
    /// The time within which a response has its full value.
    pub target_latency: Duration,
    /// The service's utilization.
    pub utilization: f64,
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

impl Escalation {
    /// Returns whether the expected gain from the largest model exceeds its price.
    #[must_use]
    pub fn is_worthwhile(&self) -> bool {
        let accuracy = probability_right(self.confidence);
        let current_value = remaining_value(self.waited, self.target_latency)
            * (accuracy + (1.0 - accuracy) * WRONG_VALUE);
        let escalated_value =
            remaining_value(self.waited + self.expected_latency, self.target_latency)
                * LARGEST_ACCURACY;
        let idx = usize::from(self.priority).min(VALUE_BY_PRIORITY.len() - 1);
        let price = 1.0 + CAPACITY_PRICE * self.utilization.clamp(0.0, 1.0);
        (escalated_value - current_value) * VALUE_BY_PRIORITY[idx] > price
    }
}

/// Returns the probability that a response with this confidence is right.
fn probability_right(confidence: u8) -> f64 {
    let odds = ((f64::from(confidence) - CONFIDENCE_MIDPOINT) / CONFIDENCE_SCALE).exp();
    odds / (1.0 + odds)
}

/// Returns the expected fraction of its value that a response keeps if it is expected to
/// start `latency` after the request arrived. The expectation may be wrong by `ESTIMATE_ERROR`
/// of the target latency in both directions, so the value decreases linearly between these
/// bounds.
fn remaining_value(latency: Duration, target_latency: Duration) -> f64 {
    const ESTIMATE_ERROR: f64 = 0.25;
    let lateness = (latency.div_duration_f64(target_latency) - (1.0 - ESTIMATE_ERROR))
        / (2.0 * ESTIMATE_ERROR);
    1.0 - (1.0 - LATE_VALUE) * lateness.clamp(0.0, 1.0)
}
