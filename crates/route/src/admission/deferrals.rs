//! Requests that were asked to be retried later.

use std::collections::HashMap;
use std::time::Duration;

use crate::Fingerprint;

/// The maximum number of requests that are remembered. Some seconds of refusals of a host; beyond
/// it, early retries count as new requests.
const MAX_DEFERRALS: usize = 4_096;
/// The interval at which passed times are removed.
const SWEEP_INTERVAL: Duration = Duration::from_secs(1);

/// The times before which refused requests should not be retried.
///
/// A [`Fingerprint`] includes the customer, so customers don't affect each other.
#[derive(Clone, Debug, Default)]
pub(super) struct Deferrals {
    until: HashMap<Fingerprint, Duration>,
    last_sweep: Duration,
}

impl Deferrals {
    /// Returns the remaining time before a request should be retried, if it was refused.
    pub(super) fn remaining(&self, now: Duration, fingerprint: Fingerprint) -> Option<Duration> {
        let until = self.until.get(&fingerprint)?;
        until.checked_sub(now).filter(|it| !it.is_zero())
    }

    /// Records that a request was refused until `until`.
    pub(super) fn insert(&mut self, now: Duration, fingerprint: Fingerprint, until: Duration) {
        if now >= self.last_sweep + SWEEP_INTERVAL {
            self.last_sweep = now;
            self.until.retain(|_, it| now < *it);
        }
        if self.until.len() < MAX_DEFERRALS || self.until.contains_key(&fingerprint) {
            self.until.insert(fingerprint, until);
        }
    }
}
