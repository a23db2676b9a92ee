//! How many log lines may be written.

use std::time::Duration;

/// Lines a second that a host writes on average. At 300 bytes a line that is
/// 45 kB/s. Three runs with and without lines showed no difference in processor
/// time (docs/design/relay.md).
const RATE: f64 = 150.0;
/// Lines that may come at once, as when a service fails.
const BURST: f64 = 600.0;
/// The part of the burst that is kept for what is out of the ordinary.
const KEPT: f64 = 0.5;

/// How many log lines may be written: a token bucket.
#[derive(Debug)]
pub(crate) struct Allowance {
    left: f64,
    at: Duration,
    dropped: u64,
}

/// What a line is worth.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Weight {
    /// It is about a request with which nothing went wrong.
    Ordinary,
    /// It is about one of those that stand for the others.
    Sample,
    /// All else.
    Notable,
}

impl Default for Allowance {
    fn default() -> Self {
        Self {
            left: BURST,
            at: Duration::ZERO,
            dropped: 0,
        }
    }
}

impl Allowance {
    /// Whether a line may be written now.
    pub(crate) fn take(&mut self, now: Duration, weight: Weight) -> bool {
        let refill = now.saturating_sub(self.at).as_secs_f64() * RATE;
        self.left = (self.left + refill).min(BURST);
        self.at = self.at.max(now);
        let least = match weight {
            Weight::Notable => 1.0,
            Weight::Sample => BURST * KEPT,
            Weight::Ordinary => return false,
        };
        if self.left < least {
            self.dropped += 1;
            return false;
        }
        self.left -= 1.0;
        true
    }

    /// How many lines were dropped since the last call.
    pub(crate) fn take_dropped(&mut self) -> u64 {
        std::mem::take(&mut self.dropped)
    }
}
