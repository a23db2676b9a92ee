//! The order in which an endpoint's queue serves requests.

use std::time::Duration;

use super::Router;
use crate::LoadPolicy;
use crate::call::Call;

/// How long a prompt occupies its endpoint, relative to the shortest target latency of the routes
/// of its service.
///
/// An endpoint prefills one prompt after the other, and a short prompt behind long ones is late
/// although no slot is short. The shortest prompts first is the order with the least waiting in
/// total. It needs no knowledge of what other hosts send: the endpoint knows its queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum PromptSize {
    /// Twenty or more fit into the target latency.
    Short,
    /// Eight or more fit into it.
    Medium,
    /// Fewer than eight fit into it.
    Long,
}

impl PromptSize {
    fn of(prefill: Duration, target_latency: Duration) -> Self {
        const SHORT_DIVISOR: u32 = 20;
        const MEDIUM_DIVISOR: u32 = 8;
        if prefill <= target_latency / SHORT_DIVISOR {
            Self::Short
        } else if prefill <= target_latency / MEDIUM_DIVISOR {
            Self::Medium
        } else {
            Self::Long
        }
    }

    /// Returns by how many steps the request is less urgent than a short one. Two steps for each
    /// size, so that the size outweighs the difference between neighbouring priorities of routes.
    fn steps(self) -> u8 {
        match self {
            Self::Short => 0,
            Self::Medium => 2,
            Self::Long => 4,
        }
    }
}

impl Router {
    /// Returns the priority with which a request is sent to an endpoint; 0 is the most urgent.
    ///
    /// Under [`LoadPolicy::Contended`] longer prompts are less urgent than shorter ones, until
    /// half of the route's target latency has passed: a steady stream of short prompts must not
    /// keep a long one waiting.
    #[must_use]
    pub fn request_priority(&self, now: Duration, call: &Call) -> u8 {
        let priority = call.priority();
        if self.load_policy(&call.service) != LoadPolicy::Contended {
            return priority;
        }
        let waited = now.saturating_sub(call.arrived);
        if waited >= call.route.target_latency / 2 {
            return priority;
        }
        priority.saturating_add(self.prompt_size(call).map_or(0, PromptSize::steps))
    }

    /// Returns the size of the request's prompt; `None` if the route chooses no model.
    fn prompt_size(&self, call: &Call) -> Option<PromptSize> {
        let prefill = self.expected_latency(call, call.cascade.model()?);
        let config = self.config.as_ref()?;
        let target_latency = config.min_target_latency(&call.service)?;
        Some(PromptSize::of(prefill, target_latency))
    }
}
