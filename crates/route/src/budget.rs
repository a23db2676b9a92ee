//! Retry budgets of services.

use std::time::Duration;

use crate::Settings;

/// The number of buckets in the sliding window.
const BUCKETS: usize = 10;
/// The fraction of the fleet's allowance that hosts use. The rest is a margin, since their
/// windows aren't aligned and a host also counts requests that never reached the service.
const USED_FRACTION: f64 = 0.8;

/// Limits the retries for one service over a sliding window.
///
/// Guards against retry storms, in which the retries of all hosts keep an overloaded
/// service from recovering. Escalations to a larger model count as retries. The limit needs no
/// coordination: each host allows itself the ratio of its own requests, and an equal share of
/// the slack among the hosts that it knows. Silent ones count: in a network partition, each side
/// would otherwise use the whole slack. A host that has just started and may not know the others
/// allows itself no slack: if a fleet starts at once, each would use the whole.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    ratio: f64,
    slack: f64,
    bucket_span: Duration,
    buckets: [Bucket; BUCKETS],
    newest_bucket: u64,
}

#[derive(Clone, Copy, Debug, Default)]
struct Bucket {
    requests: u32,
    retries: u32,
}

impl RetryBudget {
    /// Creates a budget with an empty window.
    #[must_use]
    pub fn new(settings: &Settings) -> Self {
        Self {
            ratio: settings.retry_ratio * USED_FRACTION,
            slack: settings.retry_slack * USED_FRACTION,
            bucket_span: settings.retry_window / u32::try_from(BUCKETS).unwrap_or(u32::MAX),
            buckets: [Bucket::default(); BUCKETS],
            newest_bucket: 0,
        }
    }

    /// Applies a new ratio and slack. The counts and the window's length stay.
    pub fn apply_settings(&mut self, settings: &Settings) {
        self.ratio = settings.retry_ratio * USED_FRACTION;
        self.slack = settings.retry_slack * USED_FRACTION;
    }

    /// Records a request.
    pub fn record_request(&mut self, now: Duration) {
        self.current_bucket(now).requests += 1;
    }

    /// Records a retry if the budget allows one, and returns whether it does. `hosts` is the
    /// number of hosts that share the slack, including this one; `None` if it isn't known.
    #[must_use]
    pub fn try_retry(&mut self, now: Duration, hosts: Option<u32>) -> bool {
        self.current_bucket(now);
        if self.balance(hosts) < 1.0 {
            return false;
        }
        self.current_bucket(now).retries += 1;
        true
    }

    /// Returns how many retries the budget still allows if `hosts` hosts share the slack.
    /// Negative if the allowance has shrunk below the retries in the window.
    #[must_use]
    pub fn remaining(&self, now: Duration, hosts: Option<u32>) -> f64 {
        let mut copy = self.clone();
        copy.current_bucket(now);
        copy.balance(hosts)
    }

    fn balance(&self, hosts: Option<u32>) -> f64 {
        let requests: u32 = self.buckets.iter().map(|it| it.requests).sum();
        let retries: u32 = self.buckets.iter().map(|it| it.retries).sum();
        let slack = hosts.map_or(0.0, |it| self.slack / f64::from(it.max(1)));
        let allowed = f64::from(requests) * self.ratio + slack;
        allowed - f64::from(retries)
    }

    fn current_bucket(&mut self, now: Duration) -> &mut Bucket {
        let bucket =
            u64::try_from(now.as_nanos() / self.bucket_span.as_nanos().max(1)).unwrap_or(0);
        while self.newest_bucket < bucket {
            self.newest_bucket =
                (self.newest_bucket + 1).max(bucket.saturating_sub(BUCKETS as u64));
            *self.bucket_mut(self.newest_bucket) = Bucket::default();
        }
        self.bucket_mut(self.newest_bucket)
    }

    fn bucket_mut(&mut self, bucket: u64) -> &mut Bucket {
        let idx = usize::try_from(bucket % BUCKETS as u64).unwrap_or(0);
        &mut self.buckets[idx]
    }
}
