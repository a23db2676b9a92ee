//! Backoff between failed calls to the store.

use std::time::Duration;

/// Delay after the first failure. Refused calls are billed like others.
const FIRST: Duration = Duration::from_millis(150);
/// Longest delay of a single host: a configuration must be in force two seconds after the
/// store is back.
const LONGEST: Duration = Duration::from_millis(800);
/// Number of other hosts per multiple of the delay.
const SHARERS: usize = 8;
/// Largest multiple of the delay, so that a fleet soon finds a store that serves only some
/// hosts.
const MOST_SHARED: usize = 4;

/// Exponential backoff between failed calls to the store, longer in a larger fleet.
///
/// The first host that gets an answer informs all others within milliseconds, so the hosts
/// share the retries. If each retried as if it were alone, an outage of seconds would cost
/// more calls than a day of normal operation.
#[derive(Clone, Copy, Debug, Default)]
pub struct Backoff {
    failures: u32,
}

impl Backoff {
    /// Returns the delay after one more failure, in a fleet with `others` other live hosts.
    /// `lot`, from 0 to 1, spreads the retries of hosts that began to fail simultaneously.
    pub fn pause(&mut self, others: usize, lot: f64) -> Duration {
        /// Fraction of the delay that is random.
        const SPREAD: f64 = 0.25;
        let doubled = FIRST * 2u32.pow(self.failures.min(4));
        self.failures += 1;
        let alone = doubled.min(LONGEST);
        let shared = Self::shared(alone, others);
        if shared == alone {
            return alone;
        }
        shared.mul_f64(1.0 - SPREAD * lot)
    }

    /// Returns the delay multiplied for a fleet with `others` other live hosts.
    #[must_use]
    pub fn shared(pause: Duration, others: usize) -> Duration {
        let times = (others / SHARERS).clamp(1, MOST_SHARED);
        pause * u32::try_from(times).unwrap_or(1)
    }

    /// Resets the delay after the store has answered.
    pub fn reset(&mut self) {
        self.failures = 0;
    }
}
