//! Backoff between failed calls to the store.

use std::time::Duration;

/// Delay after the first failure. Calls that the store rejects are billed, too.
const INITIAL_DELAY: Duration = Duration::from_millis(150);
/// Longest delay before it is multiplied for the size of the fleet. A host that is alone must
/// have a configuration in force two seconds after the store is back.
const MAX_DELAY: Duration = Duration::from_millis(800);
/// The delay is multiplied by the number of other hosts divided by this.
const HOSTS_PER_MULTIPLE: usize = 8;
/// Largest multiple of the delay, so that a fleet soon finds a store that serves only some
/// hosts.
const MAX_MULTIPLE: usize = 4;

/// Exponential backoff between failed calls to the store, longer in a fleet with 16 or more
/// other hosts.
///
/// The first host that gets an answer informs all others within a fraction of a second, so the
/// hosts share the retries. If each retried as if it were alone, an outage of seconds would cost
/// more calls than a day of normal operation.
#[derive(Clone, Copy, Debug, Default)]
pub struct Backoff {
    failures: u32,
}

impl Backoff {
    /// Returns the delay after one more failure, in a fleet with `others` other live hosts.
    /// `jitter`, from 0 to 1, spreads the retries of hosts that began to fail simultaneously;
    /// it is ignored with fewer than 16 other hosts, when the delay isn't multiplied.
    pub fn next_delay(&mut self, others: usize, jitter: f64) -> Duration {
        /// Fraction of the delay that is random.
        const JITTER_FRACTION: f64 = 0.25;
        let doubled = INITIAL_DELAY * 2u32.pow(self.failures.min(4));
        self.failures += 1;
        let delay = doubled.min(MAX_DELAY);
        let scaled = Self::scaled(delay, others);
        if scaled == delay {
            return delay;
        }
        scaled.mul_f64(1.0 - JITTER_FRACTION * jitter)
    }

    /// Returns the delay multiplied for a fleet with `others` other live hosts.
    #[must_use]
    pub fn scaled(delay: Duration, others: usize) -> Duration {
        let multiple = (others / HOSTS_PER_MULTIPLE).clamp(1, MAX_MULTIPLE);
        delay * u32::try_from(multiple).unwrap_or(1)
    }

    /// Resets the delay after the store has answered.
    pub fn reset(&mut self) {
        self.failures = 0;
    }
}
