//! Passive health checks and ejection of endpoints.

use std::time::Duration;

/// The half-life of the counts. Short, so that a recovered endpoint is used again soon, but
/// long enough for a few requests a second to add up.
const HALF_LIFE: Duration = Duration::from_secs(3);
/// The least number of failures, weighted by age, for an ejection.
const MIN_BAD: f64 = 2.5;
/// How far an endpoint's error rate must exceed its service's for an ejection.
const MARGIN: f64 = 0.25;
/// The first and the longest ejection time. Each ejection lasts twice as long as the one
/// before, until the endpoint answers well again.
const FIRST_REST: Duration = Duration::from_millis(1_500);
const LONGEST_REST: Duration = Duration::from_secs(8);
/// The ejection time after a failed connection attempt. Short, since the endpoint may only
/// be restarting and another try is cheap.
const CONNECT_REST: Duration = Duration::from_millis(700);

/// Recent successes and failures of an endpoint, as seen by this host.
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

    /// Returns the error rate, biased towards zero while there are few responses.
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

    /// Records a failure and returns whether the endpoint should be ejected. `usual` is the
    /// error rate of the service's other endpoints.
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
        // A single failure after the ejection is enough for the next one.
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
