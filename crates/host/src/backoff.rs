//! How long to wait before a question to the store that failed is asked again.

use std::time::Duration;

/// The pause after the first failure, and the longest: refused calls are paid for
/// like others, and an outage lasts for seconds. The longest leaves time to have a
/// configuration in force two seconds after the store is back.
const FIRST: Duration = Duration::from_millis(150);
const LONGEST: Duration = Duration::from_millis(800);
/// How many hosts that hear each other ask as often as one that is alone.
const SHARERS: usize = 8;
/// How many times as long a pause gets for that reason, at most: with 76 hosts the
/// store is asked 24 times a second, and a store that serves one host in twenty is
/// found within a second.
const MOST_SHARED: usize = 4;

/// How long to wait before a question to the store that failed is asked again: twice
/// as long after each failure, and longer beside many others.
///
/// Whoever is answered first tells all others within some milliseconds. While a store
/// refused all of 76 hosts for five seconds, each asked as if it were alone, and these
/// calls were three times those of a whole quiet day.
#[derive(Clone, Copy, Debug, Default)]
pub struct Backoff {
    failures: u32,
}

impl Backoff {
    /// The pause after one more failure, beside so many other hosts that are heard.
    /// `lot`, from 0 to 1, keeps those apart that share the asking: they began to fail
    /// at the same moment.
    pub fn pause(&mut self, others: usize, lot: f64) -> Duration {
        /// The part of a shared pause that the lot decides.
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

    /// A pause beside so many other hosts that are heard.
    #[must_use]
    pub fn shared(pause: Duration, others: usize) -> Duration {
        let times = (others / SHARERS).clamp(1, MOST_SHARED);
        pause * u32::try_from(times).unwrap_or(1)
    }

    /// Forgets the failures: the store has answered.
    pub fn reset(&mut self) {
        self.failures = 0;
    }
}
