//! Expected response times, and the decisions that depend on them.

use std::time::Duration;

use super::Router;
use crate::Doubt;
use crate::call::{Call, Ending};

impl Router {
    /// Returns whether to discard a response of this confidence and ask the largest model.
    /// If so, the retry has been reserved from the budget.
    pub fn escalates(&mut self, now: Duration, call: &mut Call, confidence: Option<u8>) -> bool {
        let (Some(confidence), true) = (confidence, call.may_escalate()) else {
            return false;
        };
        let largest = call.route.models.len() - 1;
        let doubt = Doubt {
            confidence,
            priority: call.priority(),
            waited: now.saturating_sub(call.arrived),
            larger_takes: self.expected(call, largest),
            aim: call.route.aim,
            used: self.directory.used(now, &call.service),
        };
        doubt.is_worth_more() && self.reserve(now, call, Ending::Unsure)
    }

    /// Returns the timeout for the start of a response: `part` of the route's target latency,
    /// or a multiple of the expected time if that is longer.
    #[must_use]
    pub fn patience(&self, call: &Call, part: f64) -> Duration {
        /// Allows for queueing behind other requests.
        const TIMES: u32 = 3;
        let least = call.route.aim.mul_f64(part);
        let usual = match call.cascade.model() {
            Some(model) => self.expected(call, model),
            None => self
                .wholes
                .get(&call.route.name)
                .copied()
                .unwrap_or_default(),
        };
        least.max(usual * TIMES)
    }

    /// Returns the expected time until a model's response starts.
    pub(super) fn expected(&self, call: &Call, model: usize) -> Duration {
        let pace = call.route.models.get(model).and_then(|it| {
            let key = (call.service.clone(), it.clone());
            self.paces.get(&key).copied()
        });
        pace.unwrap_or_default().expect(call.shape.prompt_tokens)
    }
}
