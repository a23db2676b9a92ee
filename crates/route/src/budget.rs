//! How many repeats this host may send to a service.

use std::time::Duration;

use crate::Settings;

/// The pieces into which the window is cut for counting.
const PIECES: usize = 10;
/// The part of the fleet's allowance that hosts use. The rest covers that their
/// windows don't begin at the same moment and that a host counts requests which
/// broke off before the service could have seen them.
const USED: f64 = 0.8;

/// Counts requests and repeats of one service over a sliding window.
///
/// A service that is slow or failing gets every request several times when all
/// hosts retry, and never recovers. The bound holds for the fleet although no
/// host asks another: each allows itself the ratio of its own requests and its
/// part of the slack, and the parts add up. A host that is cut off from the
/// others keeps the part that it had, so the sum stays what it was.
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
    /// A budget without history.
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

    /// Takes new figures and keeps what was counted; the window stays.
    pub fn tune(&mut self, settings: &Settings) {
        self.ratio = settings.retry_ratio * USED;
        self.slack = settings.retry_slack * USED;
    }

    /// Counts a request.
    pub fn request(&mut self, now: Duration) {
        self.current(now).requests += 1;
    }

    /// Counts a repeat if one is allowed beside `hosts - 1` other hosts, and
    /// says whether it is.
    #[must_use]
    pub fn repeat(&mut self, now: Duration, hosts: u32) -> bool {
        self.current(now);
        if self.balance(hosts) < 1.0 {
            return false;
        }
        self.current(now).repeats += 1;
        true
    }

    /// How many repeats are left beside `hosts - 1` other hosts.
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
