//! Retry budgets of services.

use std::time::Duration;

use crate::Settings;

/// The number of buckets in the sliding window.
const PIECES: usize = 10;
/// The fraction of the fleet's allowance that hosts use. The rest is a margin, since their
/// windows aren't aligned and a host also counts requests that never reached the service.
const USED: f64 = 0.8;

/// Limits the retries for one service over a sliding window.
///
/// Guards against retry storms, in which the retries of all hosts keep an overloaded
/// service from recovering. The limit holds for the whole fleet without coordination: each
/// host allows itself the ratio of its own requests and its share of the slack. A host that
/// is partitioned from the others keeps its share.
#[derive(Clone, Debug)]
pub struct Budget {
    ratio: f64,
    slack: f64,
    piece: Duration,
    counts: [Count; PIECES],
    newest: u64,
}

#[derive(Clone, Copy, Debug, Default)]
struct Count {
    requests: u32,
    repeats: u32,
}

impl Budget {
    /// Creates a budget with an empty window.
    #[must_use]
    pub fn new(settings: &Settings) -> Self {
        Self {
            ratio: settings.retry_ratio * USED,
            slack: settings.retry_slack * USED,
            piece: settings.retry_window / u32::try_from(PIECES).unwrap_or(u32::MAX),
            counts: [Count::default(); PIECES],
            newest: 0,
        }
    }

    /// Applies a new ratio and slack. The counts and the window's length stay.
    pub fn tune(&mut self, settings: &Settings) {
        self.ratio = settings.retry_ratio * USED;
        self.slack = settings.retry_slack * USED;
    }

    /// Records a request.
    pub fn request(&mut self, now: Duration) {
        self.current(now).requests += 1;
    }

    /// Records a retry if the budget allows one, and returns whether it does. `hosts` is the
    /// number of hosts that share the slack, including this one.
    #[must_use]
    pub fn repeat(&mut self, now: Duration, hosts: u32) -> bool {
        self.current(now);
        if self.balance(hosts) < 1.0 {
            return false;
        }
        self.current(now).repeats += 1;
        true
    }

    /// Returns the number of retries left if `hosts` hosts share the slack.
    #[must_use]
    pub fn left(&self, now: Duration, hosts: u32) -> f64 {
        let mut aged = self.clone();
        aged.current(now);
        aged.balance(hosts)
    }

    fn balance(&self, hosts: u32) -> f64 {
        let requests: u32 = self.counts.iter().map(|it| it.requests).sum();
        let repeats: u32 = self.counts.iter().map(|it| it.repeats).sum();
        let allowed = f64::from(requests) * self.ratio + self.slack / f64::from(hosts.max(1));
        allowed - f64::from(repeats)
    }

    fn current(&mut self, now: Duration) -> &mut Count {
        let piece = u64::try_from(now.as_nanos() / self.piece.as_nanos().max(1)).unwrap_or(0);
        while self.newest < piece {
            self.newest = (self.newest + 1).max(piece.saturating_sub(PIECES as u64));
            *self.slot(self.newest) = Count::default();
        }
        self.slot(self.newest)
    }

    fn slot(&mut self, piece: u64) -> &mut Count {
        let idx = usize::try_from(piece % PIECES as u64).unwrap_or(0);
        &mut self.counts[idx]
    }
}
