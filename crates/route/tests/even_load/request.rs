//! Requests of callers.

use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg32;
use route::{IncomingRequest, RequestProfile};

use crate::demand::{Demand, UNSURE_FRACTION};
use crate::endpoint::capacity;
use crate::harness;
use crate::kind::Kind;
use crate::scenario::Scenario;

/// The quantiles in steps of 1/20 of the tokens of long prompts: log-normal with a mean of 12,000.
/// The largest is the longest prompt. A table, since `exp` isn't the same on all machines.
const LONG_TOKENS: [u32; 21] = [
    1_500, 3_000, 3_800, 4_500, 5_200, 5_900, 6_500, 7_200, 7_900, 8_600, 9_400, 10_300, 11_200,
    12_300, 13_600, 15_100, 16_900, 19_400, 23_000, 29_700, 54_600,
];
const SHARED_TOKENS: u64 = 5_400;
/// The number of subjects that long prompts are about.
const SUBJECTS: u64 = 200;

/// A request of a caller.
#[derive(Clone, Debug)]
pub(crate) struct Request {
    pub(crate) arrived: Duration,
    pub(crate) host: usize,
    pub(crate) demand: Demand,
    pub(crate) tokens: u64,
    /// The subject whose prompts share a prefix, and the prefix's length.
    pub(crate) prefix: Option<(u64, u64)>,
    /// The confidence of the smallest model's response.
    pub(crate) confidence: u8,
}

impl Request {
    /// Returns the requests of a scenario, in no order. They don't depend on the policy.
    pub(crate) fn traffic(scenario: &Scenario) -> Vec<Self> {
        let mut rng = Pcg32::seed_from_u64(scenario.seed);
        let demands = scenario.customer.demands();
        let slots = scenario.customer.slots();
        let work: f64 = demands.iter().map(|it| it.rate * it.work(slots)).sum();
        let factor = scenario.load * capacity(scenario.endpoints) / work;
        let count = |it: Demand| {
            // Rounded down to whole requests.
            let count = scenario.length.mul_f64(it.rate * factor).as_secs();
            std::iter::repeat_n(it, usize::try_from(count).unwrap())
        };
        let all = demands.into_iter().flat_map(count);
        all.map(|it| Self::random(it, scenario, &mut rng)).collect()
    }

    fn random(demand: Demand, scenario: &Scenario, rng: &mut Pcg32) -> Self {
        let kind = demand.kind;
        let tokens = match kind {
            Kind::Long => {
                let idx = rng.random_range(0..LONG_TOKENS.len() - 1);
                u64::from(rng.random_range(LONG_TOKENS[idx]..=LONG_TOKENS[idx + 1]))
            }
            Kind::Short => 826,
            Kind::Tag => 2_368,
        };
        let prefix = (kind == Kind::Long).then(|| {
            let subject = rng.random_range(0..SUBJECTS);
            (subject, SHARED_TOKENS.min(tokens / 2))
        });
        let is_unsure = rng.random::<f64>() < UNSURE_FRACTION;
        Self {
            arrived: scenario.length.mul_f64(rng.random()),
            host: rng.random_range(0..scenario.hosts),
            demand,
            tokens,
            prefix,
            confidence: if is_unsure { 5 } else { 95 },
        }
    }

    /// Returns the request as a host receives it.
    pub(crate) fn incoming<'a>(&self, id: &'a str) -> IncomingRequest<'a> {
        IncomingRequest {
            path: self.demand.kind.path(),
            body: id.as_bytes(),
            profile: RequestProfile {
                prompt_tokens: self.tokens,
                output_tokens: u64::from(self.demand.events) * 9,
                shared_prefix: self.prefix,
                ..RequestProfile::default()
            },
            ..harness::request(id)
        }
    }
}
