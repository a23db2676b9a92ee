//! Expected response times, and the decisions that depend on them.

use std::time::Duration;

use super::Router;
use crate::Escalation;
use crate::call::{Call, Ending};

impl Router {
    /// Returns whether to discard a response of this confidence and ask the largest model.
    /// If so, the retry has been reserved from the budget.
    pub fn try_escalate(&mut self, now: Duration, call: &mut Call, confidence: Option<u8>) -> bool {
        let (Some(confidence), true) = (confidence, call.may_escalate()) else {
            return false;
        };
        let largest = call.route.models.len() - 1;
        let escalation = Escalation {
            confidence,
            priority: call.priority(),
            waited: now.saturating_sub(call.arrived),
            expected_latency: self.expected_latency(call, largest),
            target_latency: call.route.target_latency,
            utilization: self.directory.utilization(now, &call.service),
        };
        escalation.is_worthwhile() && self.reserve_retry(now, call, Ending::LowConfidence)
    }

    /// Returns the timeout for the start of a response: `fraction` of the route's target
    /// latency, or a multiple of the expected time if that is longer.
    #[must_use]
    pub fn response_timeout(&self, call: &Call, fraction: f64) -> Duration {
        /// Allows for queueing behind other requests.
        const SLACK_FACTOR: u32 = 3;
        let minimum = call.route.target_latency.mul_f64(fraction);
        let expected = match call.cascade.model() {
            Some(model) => self.expected_latency(call, model),
            None => self
                .first_byte_times
                .get(&call.route.name)
                .copied()
                .unwrap_or_default(),
        };
        minimum.max(expected * SLACK_FACTOR)
    }

    /// Returns the expected time until a model's response starts.
    pub(super) fn expected_latency(&self, call: &Call, model: usize) -> Duration {
        let estimator = call.route.models.get(model).and_then(|it| {
            let key = (call.service.clone(), it.clone());
            self.prefill_estimators.get(&key).copied()
        });
        estimator
            .unwrap_or_default()
            .estimate(call.profile.prompt_tokens)
    }
}
