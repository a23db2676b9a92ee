//! What one kind of load measured on one target.

use std::collections::BTreeMap;
use std::time::Duration;

use hdrhistogram::Histogram;

const DIGITS: u8 = 3;
/// Longer times than an hour count as an hour.
const LONGEST_US: u64 = 3_600_000_000;

/// Latencies from the intended starts, and counts.
#[derive(Clone, Debug)]
pub(crate) struct Measure {
    latency: Histogram<u64>,
    /// Answers that came whole.
    pub(crate) answered: u64,
    /// Requests without a whole answer, by the reason.
    pub(crate) failures: BTreeMap<String, u64>,
    /// Tokens that came in the steady time.
    pub(crate) tokens: u64,
    /// The time in which as many streams ended as began.
    pub(crate) steady: Duration,
    /// From the first intended start to the last end.
    pub(crate) length: Duration,
}

impl Measure {
    /// Notes a whole answer.
    pub(crate) fn answer(&mut self, latency: Duration) {
        let micros = u64::try_from(latency.as_micros()).unwrap_or(u64::MAX);
        self.latency.saturating_record(micros);
        self.answered += 1;
    }

    /// Notes a request without a whole answer.
    pub(crate) fn fail(&mut self, why: String) {
        *self.failures.entry(why).or_default() += 1;
    }

    /// A quantile of the latency.
    pub(crate) fn quantile(&self, quantile: f64) -> Duration {
        Duration::from_micros(self.latency.value_at_quantile(quantile))
    }

    /// Whole answers a second.
    pub(crate) fn answers_per_second(&self) -> f64 {
        per_second(self.answered, self.length)
    }

    /// Tokens a second in the steady time.
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
                .expect("the bounds and digits are within what the library allows"),
            answered: 0,
            failures: BTreeMap::new(),
            tokens: 0,
            steady: Duration::ZERO,
            length: Duration::ZERO,
        }
    }
}
