//! What is due when.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use kernel::Incarnation;

use crate::Serial;
use crate::book::EntryKey;

/// What happens at a time, unless it was settled before.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Timer {
    /// The write of a claim is repeated or given up.
    Claim(EntryKey),
    /// A partner should have confirmed a copy by now.
    Copy(u64),
    /// The end of an answer has waited long enough for a second copy.
    Release(Serial),
    /// The next batch is due.
    Flush,
    /// The records of a home are moved on.
    Settle(Incarnation),
    /// The copies held for an owner that is gone are settled.
    Orphan(Incarnation),
    /// Rows of claims are marked or given back.
    Chore,
    /// A partner that was passed over may be chosen again.
    Partners,
    /// Owners are asked which copies are still needed.
    Ask,
    /// Keys are forgotten.
    Sweep,
}

/// A queue of timers, at most one of a kind.
#[derive(Debug, Default)]
pub(crate) struct Timers {
    at: BTreeMap<Timer, Duration>,
    queue: BTreeSet<(Duration, Timer)>,
    asked: Option<Duration>,
}

impl Timers {
    /// Arms `timer`; one that is due sooner stays as it is.
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

    /// Takes one timer that is due.
    pub(crate) fn take_due(&mut self, now: Duration) -> Option<Timer> {
        let &(at, timer) = self.queue.first().filter(|(at, _)| *at <= now)?;
        self.queue.remove(&(at, timer));
        self.at.remove(&timer);
        Some(timer)
    }

    /// The time to ask a tick for, if the one asked for before isn't soon enough.
    pub(crate) fn wake(&mut self, now: Duration) -> Option<Duration> {
        let &(at, _) = self.queue.first()?;
        if self.asked.is_some_and(|asked| asked > now && asked <= at) {
            return None;
        }
        self.asked = Some(at);
        Some(at)
    }
}
