//! Limits the rate of log lines.

use std::time::Duration;

/// The sustained rate of log lines per second (docs/design/relay.md). At 300 bytes a line this is
/// 45 kB/s.
const LINES_PER_SECOND: f64 = 150.0;
/// The most lines in a burst, as when a service fails.
const BURST_LINES: f64 = 600.0;
/// The fraction of the burst that is reserved for lines about failures and events.
const RESERVED_FRACTION: f64 = 0.5;

/// A token bucket that limits the rate of log lines.
#[derive(Debug)]
pub(crate) struct LineLimiter {
    tokens: f64,
    refilled_at: Duration,
    dropped: u64,
}

/// The priority of a log line.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum LinePriority {
    /// About a request without failures that isn't sampled. Never written, and not counted as
    /// dropped.
    Routine,
    /// About a sampled request without failures.
    Sampled,
    /// Any other line.
    Notable,
}

impl Default for LineLimiter {
    fn default() -> Self {
        Self {
            tokens: BURST_LINES,
            refilled_at: Duration::ZERO,
            dropped: 0,
        }
    }
}

impl LineLimiter {
    /// Takes a token if a line of this priority may be written now, and returns whether it may.
    pub(crate) fn take(&mut self, now: Duration, priority: LinePriority) -> bool {
        let refill = now.saturating_sub(self.refilled_at).as_secs_f64() * LINES_PER_SECOND;
        self.tokens = (self.tokens + refill).min(BURST_LINES);
        self.refilled_at = self.refilled_at.max(now);
        let min_tokens = match priority {
            LinePriority::Notable => 1.0,
            LinePriority::Sampled => BURST_LINES * RESERVED_FRACTION,
            LinePriority::Routine => return false,
        };
        if self.tokens < min_tokens {
            self.dropped += 1;
            return false;
        }
        self.tokens -= 1.0;
        true
    }

    /// Returns the number of lines dropped since the last call.
    pub(crate) fn take_dropped(&mut self) -> u64 {
        std::mem::take(&mut self.dropped)
    }
}
