//! Estimates of the time until a response starts.

use std::time::Duration;

/// The prior estimate of the seconds per prompt token. Between the fastest (0.005 ms) and the
/// slowest model (0.05 ms) in use.
const PRIOR_SECONDS_PER_TOKEN: f64 = 0.02e-3;
/// The weight of the prior, in observed tokens.
const PRIOR_TOKENS: f64 = 20_000.0;
/// The decay constant of the moving average, in observed tokens: a prompt of `n` tokens multiplies
/// the weight of earlier observations by `WINDOW_TOKENS / (WINDOW_TOKENS + n)`. Some seconds of one
/// host's traffic, so that a pool that fills up is noticed while it does.
const WINDOW_TOKENS: f64 = 400_000.0;
/// The part of the time until a response starts that doesn't depend on the prompt.
const BASE_LATENCY: Duration = Duration::from_millis(15);

/// A moving average of a model's prefill time per prompt token, including queueing.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PrefillEstimator {
    seconds: f64,
    tokens: f64,
}

impl Default for PrefillEstimator {
    fn default() -> Self {
        Self {
            seconds: PRIOR_SECONDS_PER_TOKEN * PRIOR_TOKENS,
            tokens: PRIOR_TOKENS,
        }
    }
}

impl PrefillEstimator {
    /// Records the time until the response to a prompt of `tokens` tokens started.
    pub(crate) fn record(&mut self, tokens: u64, took: Duration) {
        let tokens = capped(tokens).max(1.0);
        let decay = WINDOW_TOKENS / (WINDOW_TOKENS + tokens);
        self.seconds = self.seconds * decay + took.saturating_sub(BASE_LATENCY).as_secs_f64();
        self.tokens = self.tokens * decay + tokens;
    }

    /// Returns the expected time until the response to a prompt of `tokens` tokens starts.
    pub(crate) fn estimate(&self, tokens: u64) -> Duration {
        BASE_LATENCY + Duration::from_secs_f64(capped(tokens) * self.seconds / self.tokens)
    }
}

/// Converts a token count, capped since callers may send any number.
fn capped(tokens: u64) -> f64 {
    f64::from(u32::try_from(tokens).unwrap_or(u32::MAX))
}
