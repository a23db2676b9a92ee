//! A token bucket.

use std::time::Duration;

/// A token bucket whose rate and depth are passed to each call, since they
/// change with the demand at other hosts.
#[derive(Clone, Copy, Debug)]
pub(crate) struct TokenBucket {
    tokens: f64,
    refilled_at: Duration,
}

impl TokenBucket {
    pub(crate) fn new(tokens: f64, now: Duration) -> Self {
        Self {
            tokens,
            refilled_at: now,
        }
    }

    pub(crate) fn refill(&mut self, now: Duration, rate: f64, depth: f64) {
        let passed = now.saturating_sub(self.refilled_at).as_secs_f64();
        self.tokens = (self.tokens + passed * rate).min(depth);
        self.refilled_at = now;
    }

    pub(crate) fn deposit(&mut self, amount: f64, depth: f64) {
        self.tokens = (self.tokens + amount).min(depth);
    }

    /// Takes `amount` and returns true, or takes nothing if there are fewer tokens.
    pub(crate) fn take(&mut self, amount: f64) -> bool {
        let enough = self.tokens >= amount;
        if enough {
            self.tokens -= amount;
        }
        enough
    }

    /// Returns the fill level, from 0 to 1.
    pub(crate) fn fill_level(&self, depth: f64) -> f64 {
        (self.tokens / depth).clamp(0.0, 1.0)
    }

    /// Returns the time until one token is available at `rate`, at most one hour.
    pub(crate) fn time_to_token(&self, rate: f64) -> Duration {
        const MAX_WAIT_SECONDS: f64 = 3600.0;
        let missing = (1.0 - self.tokens).max(0.0);
        Duration::from_secs_f64((missing / rate.max(1e-9)).min(MAX_WAIT_SECONDS))
    }
}
