use std::collections::BTreeMap;

use hdrhistogram::Histogram;
use serde::Serialize;

use crate::{router::RouterKind, tally::float};

/// The figures of one router in one scenario, over all seeds. Costs are in millionths of a cent.
#[derive(Clone, Debug, Serialize)]
pub struct Figures {
    /// The router.
    pub router: RouterKind,
    /// Requests that arrived, for models and plain services.
    pub requests: u64,
    /// Requests that got a complete response.
    pub delivered: u64,
    /// The cost of all model requests, with all their attempts, per delivered model request.
    pub mean_cost: f64,
    /// The cost of the model requests that this router and the oracle both delivered, relative to
    /// the oracle's.
    pub cost_to_oracle: f64,
    /// The same by quarter of the measurement window in which the request arrived.
    pub cost_to_oracle_by_quarter: [f64; 4],
    /// The cost of the model requests in the measurement window, relative to a lower bound for
    /// those of the whole scenario. The bound is computed with knowledge of every response.
    pub cost_to_clairvoyant: f64,
    /// The share of delivered model responses that were good.
    pub good: f64,
    /// Requests per seed that got a response which was bad because of a fault.
    pub harmed: f64,
    /// The subset of those in sessions that were already pinned to a version.
    pub harmed_pinned: f64,
    /// Requests per seed with at least one response, delivered or not, that was bad or failed
    /// because of a fault.
    #[serde(rename = "touched")]
    pub affected: f64,
    /// Verdicts on versions.
    pub quarantine: Quarantine,
    /// The slot time of finished attempts at each pool, as a share of the pool's slot time in the
    /// scenario. The last pool is the plain service's.
    #[serde(rename = "use_of_pools")]
    pub pool_utilization: Vec<f64>,
    /// One plus the attempts beyond one for each version tried, per request with an attempt.
    /// Exceeds one only through retries and hedges.
    #[serde(rename = "tries")]
    pub attempts_per_step: f64,
    /// Attempts per request, over the requests with at least one attempt.
    pub dispatches: f64,
    /// Session turns that moved away from a version that still accepted requests.
    pub moved_sessions: u64,
    /// Requests that aren't idempotent but ran more than once. Must be zero.
    pub reruns: u64,
    /// Requests with an attempt at a withdrawn version after all hosts had been informed. Must be
    /// zero.
    pub sent_to_withdrawn: u64,
    /// Requests that were still pending at the end of the run. Must be zero.
    pub unfinished: u64,
    /// Requests that ended without a delivered response, by reason.
    pub refusals: BTreeMap<&'static str, u64>,
    /// Figures of each customer's model requests.
    pub customers: Vec<CustomerFigures>,
    /// Figures of each request class.
    pub classes: Vec<ClassFigures>,
}

/// The figures of a request class.
#[derive(Clone, Debug, Serialize)]
pub struct ClassFigures {
    /// The class's name.
    pub class: String,
    /// Requests that arrived.
    pub offered: u64,
    /// Requests that got a complete response.
    pub delivered: u64,
    /// The quality target.
    pub target: f64,
    /// The share of delivered responses that were good.
    pub good: f64,
    /// The cost of all requests per delivered request.
    pub mean_cost: f64,
    /// As in [`Figures::cost_to_oracle`].
    pub cost_to_oracle: f64,
    /// The mean number of versions tried for a delivered request.
    #[serde(rename = "versions_asked")]
    pub versions_tried: f64,
    /// The time from the arrival to the complete response.
    pub latency: Latency,
    /// The time from the arrival to the first token that the caller sees.
    pub first_token: Latency,
}

/// Quantiles in milliseconds.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct Latency {
    /// The median.
    pub p50: f64,
    /// The 99th percentile.
    pub p99: f64,
}

/// Counts of the hosts' verdicts on versions.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Quarantine {
    /// Quarantines of a version that a fault affected.
    pub right: u64,
    /// Quarantines of a version that no fault affected.
    pub wrong: u64,
    /// The wrong quarantines by version and cause.
    pub wrong_causes: BTreeMap<String, u64>,
    /// Quarantines that were lifted.
    pub lifted: u64,
    /// Seconds from the start of the window to the first right quarantine, for each seed with one.
    pub first_after_s: Vec<f64>,
}

/// The figures of a customer's model requests.
#[derive(Clone, Debug, Serialize)]
pub struct CustomerFigures {
    /// The customer's name.
    pub customer: String,
    /// Requests that arrived.
    pub offered: u64,
    /// The share of requests that got a complete response.
    pub share: f64,
}

impl Latency {
    pub(crate) fn from_histogram(histogram: &Histogram<u64>) -> Self {
        let millis = |quantile| float(histogram.value_at_quantile(quantile)) / 1_000.0;
        Self {
            p50: millis(0.5),
            p99: millis(0.99),
        }
    }
}
