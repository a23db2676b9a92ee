//! Estimates of the time until a response starts.

use std::time::Duration;

/// The prior estimate of the seconds per prompt token.
const PRIOR: f64 = 0.02e-3;
/// The weight of the prior, in observed tokens.
const PRIOR_TOKENS: f64 = 20_000.0;
/// The length of the moving average, in observed tokens. Short enough to follow a pool
/// that fills up.
const MEMORY_TOKENS: f64 = 400_000.0;
/// The time to start a response besides prefill.
const BASE: Duration = Duration::from_millis(15);

/// A moving average of a model's prefill time per prompt token, including queueing.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Pace {
    seconds: f64,
    tokens: f64,
}

impl Default for Pace {
    fn default() -> Self {
        Self {
            seconds: PRIOR * PRIOR_TOKENS,
            tokens: PRIOR_TOKENS,
        }
    }
}

impl Pace {
    /// Records the time until the response to a prompt of `tokens` tokens started.
    pub(crate) fn sight(&mut self, tokens: u64, took: Duration) {
        let tokens = number(tokens).max(1.0);
        let keep = MEMORY_TOKENS / (MEMORY_TOKENS + tokens);
        self.seconds = self.seconds * keep + took.saturating_sub(BASE).as_secs_f64();
        self.tokens = self.tokens * keep + tokens;
    }

    /// Returns the expected time until the response to a prompt of `tokens` tokens starts.
    pub(crate) fn expect(&self, tokens: u64) -> Duration {
        BASE + Duration::from_secs_f64(number(tokens) * self.seconds / self.tokens)
    }
}

/// Converts a token count, capped since callers may send any number.
fn number(tokens: u64) -> f64 {
    f64::from(u32::try_from(tokens).unwrap_or(u32::MAX))
}
