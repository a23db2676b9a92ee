//! Timers of the ledger.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use kernel::Incarnation;

use crate::Serial;
use crate::registry::EntryKey;

/// A timer. The text of each variant states the action that is due.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Timer {
    /// Retry the write of a claim.
    RetryClaim(EntryKey),
    /// Copy the records of an unconfirmed copy message to another host.
    CopyTimeout(u64),
    /// Release a response that has waited for a second copy.
    ReleaseTimeout(Serial),
    /// Write the next batch.
    Flush,
    /// Continue the settlement for a home.
    Settle(Incarnation),
    /// Take over the copies of an owner that is gone.
    OwnerGone(Incarnation),
    /// Retry the updates of claim rows.
    RetryClaimUpdates,
    /// Consider an avoided partner again.
    RetryPartner,
    /// Ask owners which copies are still needed.
    QueryOwners,
    /// Remove expired keys.
    ExpireKeys,
}

/// A queue of timers. Each timer is armed at most once.
#[derive(Debug, Default)]
pub(crate) struct Timers {
    at: BTreeMap<Timer, Duration>,
    queue: BTreeSet<(Duration, Timer)>,
    requested: Option<Duration>,
}

impl Timers {
    /// Arms `timer`, unless it is already due sooner.
    pub(crate) fn arm(&mut self, at: Duration, timer: Timer) {
        match self.at.get(&timer) {
            Some(&armed) if armed <= at => return,
            Some(&armed) => {
                self.queue.remove(&(armed, timer));
            }
            None => {}
        }
        self.at.insert(timer, at);
        self.queue.insert((at, timer));
    }

    pub(crate) fn disarm(&mut self, timer: Timer) {
        if let Some(at) = self.at.remove(&timer) {
            self.queue.remove(&(at, timer));
        }
    }

    /// Removes and returns a timer that is due.
    pub(crate) fn take_due(&mut self, now: Duration) -> Option<Timer> {
        let &(at, timer) = self.queue.first().filter(|(at, _)| *at <= now)?;
        self.queue.remove(&(at, timer));
        self.at.remove(&timer);
        Some(timer)
    }

    /// Returns the time of the next tick to request, or `None` if a tick that was already requested
    /// is early enough.
    pub(crate) fn wake(&mut self, now: Duration) -> Option<Duration> {
        let &(at, _) = self.queue.first()?;
        if self
            .requested
            .is_some_and(|requested| requested > now && requested <= at)
        {
            return None;
        }
        self.requested = Some(at);
        Some(at)
    }
}
