//! Detects neighbours that have stopped sending updates.

use std::collections::HashMap;
use std::time::Duration;

use kernel::HostName;

/// How long a host may be silent before it is probed. Longer than two update intervals, so
/// that one lost datagram doesn't trigger a probe.
const SILENCE: Duration = Duration::from_millis(1_200);
/// How long a host is not suspected again after this host marked it silent. If it refuted
/// the claim, only the path between the two is broken, and other hosts monitor it.
const CONTRADICTED: Duration = Duration::from_secs(10);

/// Tracks when each predecessor in the graph was last heard from.
#[derive(Debug, Default)]
pub(super) struct Watch {
    expected: HashMap<HostName, Expected>,
}

#[derive(Clone, Copy, Debug)]
struct Expected {
    /// When the host was last heard from, or monitoring began.
    heard: Duration,
    /// When the host was probed, if the result is outstanding.
    asked: Option<Duration>,
    /// No new suspicion starts before this time.
    spared: Duration,
}

impl Watch {
    /// Replaces the set of monitored hosts.
    pub(super) fn expect<'a>(&mut self, now: Duration, hosts: impl Iterator<Item = &'a HostName>) {
        let mut expected = HashMap::new();
        for it in hosts {
            let known = self.expected.get(it).copied();
            // The host also learns of the change, and sends an update within one interval.
            let fresh = Expected {
                heard: now.saturating_sub(SILENCE / 2),
                asked: None,
                spared: Duration::ZERO,
            };
            expected.insert(it.clone(), known.unwrap_or(fresh));
        }
        self.expected = expected;
    }

    pub(super) fn hear(&mut self, now: Duration, host: &HostName) {
        if let Some(it) = self.expected.get_mut(host) {
            it.heard = it.heard.max(now);
        }
    }

    /// Returns the hosts to probe. A host is probed once until its result is recorded.
    pub(super) fn suspects(&mut self, now: Duration) -> Vec<HostName> {
        let mut suspects = Vec::new();
        for (name, it) in &mut self.expected {
            if it.asked.is_none() && now >= it.heard + SILENCE && now >= it.spared {
                it.asked = Some(now);
                suspects.push(name.clone());
            }
        }
        suspects.sort_unstable();
        suspects
    }

    pub(super) fn answered(&mut self, now: Duration, host: &HostName) {
        if let Some(it) = self.expected.get_mut(host) {
            it.asked = None;
            it.heard = it.heard.max(now);
        }
    }

    /// Records that a host did not answer a probe, and returns the conclusion.
    pub(super) fn unanswered(&mut self, now: Duration, host: &HostName) -> Finding {
        /// Neighbours send an update twice a second, so a reachable one was heard within
        /// this time before the probe, or while the probe was outstanding.
        const BEFORE: Duration = Duration::from_millis(200);
        let Some(it) = self.expected.get_mut(host) else {
            return Finding::Heard;
        };
        let Some(asked) = it.asked.take() else {
            return Finding::Heard;
        };
        if now < it.heard + SILENCE {
            return Finding::Heard;
        }
        let is_heard = |it: &Expected| it.heard + BEFORE > asked;
        if !self.expected.values().any(is_heard) {
            return Finding::Deaf;
        }
        Finding::Silent
    }

    /// Suspends suspicion of a host that was just marked silent.
    pub(super) fn spare(&mut self, now: Duration, host: &HostName) {
        if let Some(it) = self.expected.get_mut(host) {
            it.spared = now + CONTRADICTED;
        }
    }
}

/// The conclusion from an unanswered probe.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Finding {
    /// The host was heard from meanwhile, or is no longer monitored.
    Heard,
    /// The host is silent while others are heard.
    Silent,
    /// No monitored host is heard; this host may be cut off itself.
    Deaf,
}
