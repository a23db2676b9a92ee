//! What one kind of load measured on one target.

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
    /// Requests without a whole answer.
    pub(crate) failed: u64,
    /// Tokens in whole answers.
    pub(crate) tokens: u64,
    /// From the first intended start to the last end.
    pub(crate) length: Duration,
}

impl Measure {
    /// Notes a whole answer.
    pub(crate) fn answer(&mut self, latency: Duration, tokens: u64) {
        let micros = u64::try_from(latency.as_micros()).unwrap_or(u64::MAX);
        self.latency.saturating_record(micros);
        self.answered += 1;
        self.tokens += tokens;
    }

    /// A quantile of the latency.
    pub(crate) fn quantile(&self, quantile: f64) -> Duration {
        Duration::from_micros(self.latency.value_at_quantile(quantile))
    }

    pub(crate) fn per_second(&self, count: u64) -> f64 {
        let count = u32::try_from(count).unwrap_or(u32::MAX);
        f64::from(count) / self.length.as_secs_f64().max(f64::EPSILON)
    }
}

impl Default for Measure {
    fn default() -> Self {
        Self {
            latency: Histogram::new_with_bounds(1, LONGEST_US, DIGITS)
                .expect("the bounds and digits are within what the library allows"),
            answered: 0,
            failed: 0,
            tokens: 0,
            length: Duration::ZERO,
        }
    }
}
