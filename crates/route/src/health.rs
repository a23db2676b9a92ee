//! Passive health checks and ejection of endpoints.

use std::time::Duration;

/// The half-life of the counts of successes and failures. Short, so that an endpoint that has
/// recovered isn't held to its past for long; long enough for a few requests a second from one host
/// to add up.
const HALF_LIFE: Duration = Duration::from_secs(3);
/// The least number of failures, weighted by age, for an ejection.
const MIN_FAILURES: f64 = 2.5;
/// The difference between an endpoint's error rate and the mean of its service's other endpoints
/// above which it is ejected.
const ERROR_RATE_MARGIN: f64 = 0.25;
/// The duration of an endpoint's first ejection. Each further one lasts twice as long as the one
/// before, until the endpoint responds well again.
const FIRST_EJECTION: Duration = Duration::from_millis(1_500);
/// The maximum duration of an ejection.
const MAX_EJECTION: Duration = Duration::from_secs(8);
/// The ejection time of an endpoint that couldn't be reached. Short, since the endpoint may only
/// be restarting and another try is cheap.
const CONNECT_EJECTION: Duration = Duration::from_millis(700);

/// Recent successes and failures of an endpoint, as seen by this host.
#[derive(Clone, Debug, Default)]
pub(crate) struct Health {
    successes: f64,
    failures: f64,
    updated_at: Duration,
    ejections: u32,
    ejected_until: Duration,
}

impl Health {
    pub(crate) fn is_ejected(&self, now: Duration) -> bool {
        now < self.ejected_until
    }

    /// Returns how much longer it is ejected.
    pub(crate) fn ejection_left(&self, now: Duration) -> Duration {
        self.ejected_until.saturating_sub(now)
    }

    /// Returns the error rate, biased towards zero while there are few responses.
    pub(crate) fn error_rate(&self) -> f64 {
        self.failures / (self.successes + self.failures + 1.0)
    }

    pub(crate) fn record_success(&mut self, now: Duration) {
        self.decay(now);
        self.successes += 1.0;
        if self.failures < 1.0 {
            self.ejections = 0;
        }
    }

    /// Records a failure and returns whether the endpoint should be ejected.
    /// `service_error_rate` is the mean error rate of the service's other endpoints that aren't
    /// ejected.
    pub(crate) fn record_failure(&mut self, now: Duration, service_error_rate: f64) -> bool {
        self.decay(now);
        self.failures += 1.0;
        self.failures >= MIN_FAILURES
            && self.error_rate() > service_error_rate + ERROR_RATE_MARGIN
            && !self.is_ejected(now)
    }

    pub(crate) fn record_unreachable(&mut self, now: Duration) {
        self.decay(now);
        self.failures += 1.0;
        self.ejected_until = self.ejected_until.max(now + CONNECT_EJECTION);
    }

    pub(crate) fn eject(&mut self, now: Duration) {
        let ejection = FIRST_EJECTION * 2u32.pow(self.ejections.min(3));
        self.ejected_until = now + ejection.min(MAX_EJECTION);
        self.ejections += 1;
        // For a half-life after the ejection, one failure is enough for the next one. The counts
        // don't decay while the endpoint gets no requests.
        self.failures = 2.0 * (MIN_FAILURES - 1.0);
        self.successes = 0.0;
        self.updated_at = self.ejected_until;
    }

    fn decay(&mut self, now: Duration) {
        let half_lives = now
            .saturating_sub(self.updated_at)
            .div_duration_f64(HALF_LIFE);
        let factor = 0.5f64.powf(half_lives);
        self.successes *= factor;
        self.failures *= factor;
        self.updated_at = now;
    }
}
