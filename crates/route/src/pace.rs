//! How fast models read prompts.

use std::time::Duration;

/// Seconds a token of a prompt takes before anything is known: between the
/// fastest (0.005 ms) and the slowest model (0.05 ms) in use.
const PRIOR: f64 = 0.02e-3;
/// How many tokens of sightings the prior weighs as much as.
const PRIOR_TOKENS: f64 = 20_000.0;
/// How many tokens of sightings are remembered: some seconds of one host's
/// traffic, so that a pool that fills up is noticed while it does.
const MEMORY_TOKENS: f64 = 400_000.0;
/// What an answer takes to begin beside the reading of its prompt.
const BASE: Duration = Duration::from_millis(15);

/// How fast a model reads prompts, with the waiting that goes with it.
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
    /// Takes how long an answer to a prompt of this length took to begin.
    pub(crate) fn sight(&mut self, tokens: u64, took: Duration) {
        let tokens = number(tokens).max(1.0);
        let keep = MEMORY_TOKENS / (MEMORY_TOKENS + tokens);
        self.seconds = self.seconds * keep + took.saturating_sub(BASE).as_secs_f64();
        self.tokens = self.tokens * keep + tokens;
    }

    /// How long an answer to a prompt of this length takes to begin.
    pub(crate) fn expect(&self, tokens: u64) -> Duration {
        BASE + Duration::from_secs_f64(number(tokens) * self.seconds / self.tokens)
    }
}

/// Callers name any number of tokens; none is read that is longer than this.
fn number(tokens: u64) -> f64 {
    f64::from(u32::try_from(tokens).unwrap_or(u32::MAX))
}
