//! Traffic statistics of a request class.

use std::time::Duration;

use crate::key;
use crate::meter::{Mean, Meter};

/// The request counts are halved when their sum exceeds this.
const MAX_REQUEST_COUNT: f64 = 2000.0;
/// The time constant of the average spending.
const SPENDING_TIME_CONSTANT: Duration = Duration::from_mins(5);

/// Traffic statistics of a request class.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ClassTraffic {
    pub(crate) key: key::Class,
    /// Prompt tokens per request.
    pub(crate) prompt: Mean,
    pub(crate) first_seen: FirstSeen,
    /// Requests not pinned to a version. Halved, like `pinned`, when
    /// [`Self::record_requests`] finds that the sum of both exceeds
    /// [`MAX_REQUEST_COUNT`].
    pub(crate) free: f64,
    /// Requests pinned to a version by their session.
    pub(crate) pinned: f64,
    /// Completion tokens per response.
    pub(crate) completion: Mean,
    /// Microcents per second.
    pub(crate) spending: Meter,
}

/// The first known occurrence of a class.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum FirstSeen {
    Never,
    /// This host first learned of a request, its own or another host's, at this time.
    At(Duration),
    /// Another host has sent its statistics of the class.
    ByPeer,
}

impl ClassTraffic {
    pub(crate) fn new(key: key::Class) -> Self {
        Self {
            key,
            prompt: Mean::default(),
            first_seen: FirstSeen::Never,
            free: 0.0,
            pinned: 0.0,
            completion: Mean::default(),
            spending: Meter::new(SPENDING_TIME_CONSTANT),
        }
    }

    /// Records requests of the class at this or another host: `free` ones that
    /// aren't pinned to a version, and `pinned` ones.
    pub(crate) fn record_requests(&mut self, now: Duration, free: u32, pinned: u32) {
        let it = self;
        if it.first_seen == FirstSeen::Never {
            it.first_seen = FirstSeen::At(now);
        }
        it.free += f64::from(free);
        it.pinned += f64::from(pinned);
        if it.free + it.pinned > MAX_REQUEST_COUNT {
            it.free /= 2.0;
            it.pinned /= 2.0;
        }
    }

    /// Adds another host's statistics of the class.
    pub(crate) fn add_report(&mut self, free: u32, pinned: u32) {
        let it = self;
        it.first_seen = FirstSeen::ByPeer;
        it.free += f64::from(free);
        it.pinned += f64::from(pinned);
    }

    /// Returns the share of requests that are pinned to a version by their session.
    ///
    /// Returns `DEFAULT_SHARE` for a class with fewer than `MIN_REQUESTS` requests
    /// or first seen less than `MIN_AGE` ago: later requests of its sessions may
    /// not have arrived yet.
    pub(crate) fn pinned_share(&self, now: Duration) -> f64 {
        const DEFAULT_SHARE: f64 = 0.7;
        const MIN_REQUESTS: f64 = 20.0;
        const MIN_AGE: Duration = Duration::from_secs(100);
        let it = self;
        let seen = it.free + it.pinned;
        let is_new = match it.first_seen {
            FirstSeen::Never => true,
            FirstSeen::At(first) => now.saturating_sub(first) < MIN_AGE,
            FirstSeen::ByPeer => false,
        };
        if is_new || seen < MIN_REQUESTS {
            return DEFAULT_SHARE;
        }
        it.pinned / seen
    }
}
