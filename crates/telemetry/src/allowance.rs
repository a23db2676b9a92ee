//! Limits the rate of log lines.

use std::time::Duration;

/// The sustained rate of log lines per second (docs/design/relay.md).
const RATE: f64 = 150.0;
/// The most lines in a burst, as when a service fails.
const BURST: f64 = 600.0;
/// The fraction of the burst that is reserved for lines about failures and events.
const KEPT: f64 = 0.5;

/// A token bucket that limits the rate of log lines.
#[derive(Debug)]
pub(crate) struct Allowance {
    left: f64,
    at: Duration,
    dropped: u64,
}

/// The priority of a log line.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Weight {
    /// About a request without failures. Never written.
    Ordinary,
    /// About a sampled request without failures.
    Sample,
    /// Any other line.
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
    /// Takes a token if a line of this priority may be written now.
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

    /// Returns the number of lines dropped since the last call.
    pub(crate) fn take_dropped(&mut self) -> u64 {
        std::mem::take(&mut self.dropped)
    }
}
