//! Measurements of one kind of load on one target.

use std::collections::BTreeMap;
use std::time::Duration;

use hdrhistogram::Histogram;

const DIGITS: u8 = 3;
/// Upper bound of the histogram, one hour. Longer times are recorded as this value.
const LONGEST_US: u64 = 3_600_000_000;

/// Latencies from the scheduled starts, and counts.
#[derive(Clone, Debug)]
pub(crate) struct Measure {
    latency: Histogram<u64>,
    /// Number of complete responses.
    pub(crate) answered: u64,
    /// Number of requests without a complete response, by reason.
    pub(crate) failures: BTreeMap<String, u64>,
    /// Number of tokens received in the steady state.
    pub(crate) tokens: u64,
    /// Duration of the steady state, in which as many streams end as start.
    pub(crate) steady: Duration,
    /// Time from the first scheduled start to the last response.
    pub(crate) length: Duration,
}

impl Measure {
    /// Records a complete response.
    pub(crate) fn answer(&mut self, latency: Duration) {
        let micros = u64::try_from(latency.as_micros()).unwrap_or(u64::MAX);
        self.latency.saturating_record(micros);
        self.answered += 1;
    }

    /// Records a request without a complete response.
    pub(crate) fn fail(&mut self, why: String) {
        *self.failures.entry(why).or_default() += 1;
    }

    /// Returns a quantile of the latency.
    pub(crate) fn quantile(&self, quantile: f64) -> Duration {
        Duration::from_micros(self.latency.value_at_quantile(quantile))
    }

    /// Returns the complete responses per second.
    pub(crate) fn answers_per_second(&self) -> f64 {
        per_second(self.answered, self.length)
    }

    /// Returns the tokens per second in the steady state.
    pub(crate) fn tokens_per_second(&self) -> f64 {
        per_second(self.tokens, self.steady)
    }
}

fn per_second(count: u64, time: Duration) -> f64 {
    let count = u32::try_from(count).unwrap_or(u32::MAX);
    f64::from(count) / time.as_secs_f64().max(f64::EPSILON)
}

impl Default for Measure {
    fn default() -> Self {
        Self {
            latency: Histogram::new_with_bounds(1, LONGEST_US, DIGITS)
                .expect("the bounds and digits are valid"),
            answered: 0,
            failures: BTreeMap::new(),
            tokens: 0,
            steady: Duration::ZERO,
            length: Duration::ZERO,
        }
    }
}
