//! The terms of an endpoint's score that depend on prefill times.

use std::time::Duration;

use super::Router;
use crate::LoadPolicy;
use crate::call::Call;
use crate::directory::Endpoint;

/// The prefill time that weighs as much as full utilization.
const PREFILL_UNIT: Duration = Duration::from_secs(1);
/// The bonus for an endpoint that has the whole prompt cached, under [`LoadPolicy::Standard`].
const CACHE_BONUS: f64 = 0.7;
/// The value of the prefill time that a cached prefix saves, relative to that time: the request
/// gains it, and so does the next one that waits there.
const CACHE_GAIN: f64 = 2.0;

/// The terms of an endpoint's score that depend on prefill times, in units of its utilization.
#[derive(Clone, Copy, Debug)]
pub(super) struct PrefillTerms {
    /// For this host's prompts that wait there.
    pub(super) pending: f64,
    /// For the request's own prompt.
    pub(super) own: f64,
    /// The bonus if the whole prompt is cached there.
    pub(super) cache_bonus: f64,
}

/// The weight of prefill times in the placement of one request.
#[derive(Clone, Copy, Debug)]
pub(super) enum PrefillWeights {
    /// The request's own prompt doesn't count, and a cached prefix has a fixed bonus.
    Fixed,
    /// Prefill takes as long as is expected at each endpoint, so that long prompts prefer fast
    /// endpoints, and a cached prefix weighs as much as the time that it saves. A fixed bonus sends
    /// requests to a busy endpoint for the sake of a prefix that takes milliseconds to prefill.
    Expected {
        /// The expected time at a usual endpoint.
        own: Duration,
    },
}

impl PrefillWeights {
    pub(super) fn terms(self, now: Duration, it: &Endpoint) -> PrefillTerms {
        let pending = it.pending_prefill.div_duration_f64(PREFILL_UNIT);
        match self {
            Self::Fixed => PrefillTerms {
                pending,
                own: 0.0,
                cache_bonus: CACHE_BONUS,
            },
            Self::Expected { own } => {
                let slowness = it.slowness(now);
                let own = slowness * own.div_duration_f64(PREFILL_UNIT);
                PrefillTerms {
                    pending: slowness * pending,
                    own,
                    cache_bonus: CACHE_GAIN * own,
                }
            }
        }
    }
}

impl Router {
    /// Returns the weight of prefill times in the placement of a request.
    pub(super) fn prefill_weights(&self, call: &Call) -> PrefillWeights {
        match (self.load_policy(&call.service), call.cascade.model()) {
            (LoadPolicy::Contended, Some(model)) => PrefillWeights::Expected {
                own: self.expected_latency(call, model),
            },
            (LoadPolicy::Standard, _) | (LoadPolicy::Contended, None) => PrefillWeights::Fixed,
        }
    }
}
