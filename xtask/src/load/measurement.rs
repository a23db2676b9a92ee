//! Measurements of one kind of load on one target.

use std::collections::BTreeMap;
use std::time::Duration;

use hdrhistogram::Histogram;

const SIGNIFICANT_DIGITS: u8 = 3;
/// Upper bound of the histogram, one hour. Longer times are recorded as this value.
const MAX_DURATION_US: u64 = 3_600_000_000;

/// Latencies from the scheduled starts, and counts.
#[derive(Clone, Debug)]
pub(crate) struct Measurement {
    latency: Histogram<u64>,
    /// Number of complete responses.
    pub(crate) responses: u64,
    /// Number of requests without a complete response, by reason.
    pub(crate) failures: BTreeMap<String, u64>,
    /// Number of stream events received in `steady_time`, counted as tokens.
    pub(crate) tokens: u64,
    /// Time from the end of the ramp-up to the start of the last request, summed over the runs.
    pub(crate) steady_time: Duration,
    /// Sum over the runs of the time from the first scheduled start to the last response.
    pub(crate) elapsed: Duration,
}

impl Measurement {
    /// Records a complete response.
    pub(crate) fn record_response(&mut self, latency: Duration) {
        let micros = u64::try_from(latency.as_micros()).unwrap_or(u64::MAX);
        self.latency.saturating_record(micros);
        self.responses += 1;
    }

    /// Records a request without a complete response.
    pub(crate) fn record_failure(&mut self, reason: String) {
        *self.failures.entry(reason).or_default() += 1;
    }

    /// Returns a quantile of the latency.
    pub(crate) fn quantile(&self, quantile: f64) -> Duration {
        Duration::from_micros(self.latency.value_at_quantile(quantile))
    }

    /// Returns the complete responses per second.
    pub(crate) fn responses_per_second(&self) -> f64 {
        per_second(self.responses, self.elapsed)
    }

    /// Returns the tokens per second in `steady_time`.
    pub(crate) fn tokens_per_second(&self) -> f64 {
        per_second(self.tokens, self.steady_time)
    }
}

fn per_second(count: u64, time: Duration) -> f64 {
    let count = u32::try_from(count).unwrap_or(u32::MAX);
    f64::from(count) / time.as_secs_f64().max(f64::EPSILON)
}

impl Default for Measurement {
    fn default() -> Self {
        Self {
            latency: Histogram::new_with_bounds(1, MAX_DURATION_US, SIGNIFICANT_DIGITS)
                .expect("the bounds and digits are valid"),
            responses: 0,
            failures: BTreeMap::new(),
            tokens: 0,
            steady_time: Duration::ZERO,
            elapsed: Duration::ZERO,
        }
    }
}
