//! How well an endpoint answers.

use std::time::Duration;

/// The time in which a sighting loses half of its weight. Short, so that an
/// endpoint that recovered is not held to its past for long; long enough for a
/// few requests a second from one host to add up.
const HALF_LIFE: Duration = Duration::from_secs(3);
/// Bad sightings, weighted by age, below which an endpoint is never judged.
const MIN_BAD: f64 = 2.5;
/// How much greater than its service's share of bad answers an endpoint's may
/// be. Services have some of their own, up to one answer in seven.
const MARGIN: f64 = 0.25;
/// The first rest of an endpoint that answers badly, and the longest: each one
/// is twice as long as the one before until the endpoint answers well again.
const FIRST_REST: Duration = Duration::from_millis(1_500);
const LONGEST_REST: Duration = Duration::from_secs(8);
/// The rest after a connection that couldn't be opened. The endpoint may only
/// be restarting, and another try costs no more than a refused connection.
const CONNECT_REST: Duration = Duration::from_millis(700);

/// How an endpoint has answered this host lately.
#[derive(Clone, Debug, Default)]
pub(crate) struct Health {
    good: f64,
    bad: f64,
    at: Duration,
    rests: u32,
    resting_until: Duration,
}

impl Health {
    pub(crate) fn is_resting(&self, now: Duration) -> bool {
        now < self.resting_until
    }

    /// The share of bad answers, pulled to none while there are few.
    pub(crate) fn bad_share(&self) -> f64 {
        self.bad / (self.good + self.bad + 1.0)
    }

    pub(crate) fn good(&mut self, now: Duration) {
        self.age(now);
        self.good += 1.0;
        if self.bad < 1.0 {
            self.rests = 0;
        }
    }

    /// Takes a bad sighting; `usual` is the share that the service has anyway.
    /// Returns whether the endpoint is to rest.
    pub(crate) fn bad(&mut self, now: Duration, usual: f64) -> bool {
        self.age(now);
        self.bad += 1.0;
        self.bad >= MIN_BAD && self.bad_share() > usual + MARGIN && !self.is_resting(now)
    }

    pub(crate) fn unreachable(&mut self, now: Duration) {
        self.age(now);
        self.bad += 1.0;
        self.resting_until = self.resting_until.max(now + CONNECT_REST);
    }

    pub(crate) fn rest(&mut self, now: Duration) {
        let rest = FIRST_REST * 2u32.pow(self.rests.min(3));
        self.resting_until = now + rest.min(LONGEST_REST);
        self.rests += 1;
        // One more bad answer after the rest is enough to begin the next.
        self.bad = MIN_BAD - 1.0;
        self.good = 0.0;
    }

    fn age(&mut self, now: Duration) {
        let halves = now.saturating_sub(self.at).div_duration_f64(HALF_LIFE);
        let factor = 0.5f64.powf(halves);
        self.good *= factor;
        self.bad *= factor;
        self.at = now;
    }
}
