use std::collections::BTreeMap;

use hdrhistogram::Histogram;
use serde::Serialize;

use crate::{router::Kind, tally::float};

/// The figures of one router in one scenario, over all seeds. Costs are in
/// millionths of a cent.
#[derive(Clone, Debug, Serialize)]
pub struct Figures {
    /// Who decided.
    pub router: Kind,
    /// Requests that arrived, to models and plain services.
    pub requests: u64,
    /// Requests that got a whole answer.
    pub delivered: u64,
    /// The mean cost of an answered model request, all its attempts included.
    pub mean_cost: f64,
    /// The cost of the requests that both answered, over the oracle's that knows
    /// the distributions.
    pub cost_to_oracle: f64,
    /// The same for the first, second, third and last quarter of the time that counts.
    pub cost_to_oracle_by_quarter: [f64; 4],
    /// The cost over the lower bound that knows each coin.
    pub cost_to_clairvoyant: f64,
    /// The share of delivered model answers that were good.
    pub good: f64,
    /// Requests per seed that got an answer which a fault had spoilt.
    pub harmed: f64,
    /// Those of them that came with their session's version, which is kept.
    pub harmed_pinned: f64,
    /// Requests per seed for which a fault spoilt an answer, delivered or not.
    pub touched: f64,
    /// Verdicts on versions.
    pub quarantine: Quarantine,
    /// By pool, the part of the slots that was in use, over the whole scenario;
    /// the last pool is the plain service's.
    pub use_of_pools: Vec<f64>,
    /// Attempts per step of a cascade: above one by retries and hedges only.
    pub tries: f64,
    /// Attempts per request that was sent at all.
    pub dispatches: f64,
    /// Turns of sessions that left a version that still took work.
    pub moved_sessions: u64,
    /// Requests that may run once only and ran twice; must be none.
    pub reruns: u64,
    /// Requests sent to a withdrawn version after all hosts knew; must be none.
    pub sent_to_withdrawn: u64,
    /// Requests without an end when the run ended.
    pub unfinished: u64,
    /// Requests that got no answer, by reason.
    pub refusals: BTreeMap<&'static str, u64>,
    /// How each customer's model requests fared.
    pub customers: Vec<Served>,
    /// By request class.
    pub classes: Vec<ClassFigures>,
}

/// The figures of a request class.
#[derive(Clone, Debug, Serialize)]
pub struct ClassFigures {
    /// The class.
    pub class: String,
    /// Requests that arrived.
    pub offered: u64,
    /// Requests that got a whole answer.
    pub delivered: u64,
    /// The quality target.
    pub target: f64,
    /// The share of delivered answers that were good.
    pub good: f64,
    /// The mean cost of an answer.
    pub mean_cost: f64,
    /// As in [`Figures::cost_to_oracle`].
    pub cost_to_oracle: f64,
    /// The mean number of versions asked.
    pub versions_asked: f64,
    /// From the arrival to the whole answer.
    pub latency: Latency,
    /// From the arrival to the first token that the caller sees.
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

/// What hosts said of versions.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Quarantine {
    /// Hosts' verdicts against a version that a fault had spoilt.
    pub right: u64,
    /// Hosts' verdicts against a version that nothing was wrong with.
    pub wrong: u64,
    /// The wrong ones by version and cause.
    pub wrong_causes: BTreeMap<String, u64>,
    /// Verdicts that were lifted.
    pub lifted: u64,
    /// By seed, seconds from the fault to the first right verdict.
    pub first_after_s: Vec<f64>,
}

/// How a customer's model requests fared.
#[derive(Clone, Debug, Serialize)]
pub struct Served {
    /// The customer.
    pub customer: String,
    /// Requests that arrived.
    pub offered: u64,
    /// The share that was answered.
    pub share: f64,
}

impl Latency {
    pub(crate) fn of(histogram: &Histogram<u64>) -> Self {
        let millis = |quantile| float(histogram.value_at_quantile(quantile)) / 1_000.0;
        Self {
            p50: millis(0.5),
            p99: millis(0.99),
        }
    }
}
