//! Detects neighbours that have stopped sending updates.

use std::collections::HashMap;
use std::time::Duration;

use kernel::HostName;

/// Time of silence after which a host is probed. Longer than two update intervals, so that one lost
/// datagram doesn't trigger a probe.
const SUSPECT_AFTER: Duration = Duration::from_millis(1_200);
/// Time for which a host is not suspected again after this host marked it silent, if it refutes the
/// claim before the graph is recomputed without it. Only the path between the two is broken
/// then, and other hosts monitor it.
const SUSPENSION: Duration = Duration::from_secs(10);

/// Tracks the time at which each predecessor in the graph was last heard from.
#[derive(Debug, Default)]
pub(super) struct FailureDetector {
    monitored: HashMap<HostName, Monitored>,
}

#[derive(Clone, Copy, Debug)]
struct Monitored {
    /// The time at which the host was last heard from; initially half of [`SUSPECT_AFTER`] before
    /// monitoring began.
    last_heard: Duration,
    /// The time at which the host was probed, if the result is outstanding.
    probed_at: Option<Duration>,
    /// No new suspicion starts before this time.
    suspended_until: Duration,
}

impl FailureDetector {
    /// Replaces the set of monitored hosts.
    pub(super) fn monitor<'a>(&mut self, now: Duration, hosts: impl Iterator<Item = &'a HostName>) {
        let mut monitored = HashMap::new();
        for it in hosts {
            let known = self.monitored.get(it).copied();
            // A new predecessor is suspected after only half the time: it also learns of the
            // changed graph, and sends this host an update within one interval.
            let fresh = Monitored {
                last_heard: now.saturating_sub(SUSPECT_AFTER / 2),
                probed_at: None,
                suspended_until: Duration::ZERO,
            };
            monitored.insert(it.clone(), known.unwrap_or(fresh));
        }
        self.monitored = monitored;
    }

    pub(super) fn record_message(&mut self, now: Duration, host: &HostName) {
        if let Some(it) = self.monitored.get_mut(host) {
            it.last_heard = it.last_heard.max(now);
        }
    }

    /// Returns the hosts to probe. A host is probed once until its result is recorded.
    pub(super) fn suspects(&mut self, now: Duration) -> Vec<HostName> {
        let mut suspects = Vec::new();
        for (name, it) in &mut self.monitored {
            if it.probed_at.is_none()
                && now >= it.last_heard + SUSPECT_AFTER
                && now >= it.suspended_until
            {
                it.probed_at = Some(now);
                suspects.push(name.clone());
            }
        }
        suspects.sort_unstable();
        suspects
    }

    pub(super) fn mark_alive(&mut self, now: Duration, host: &HostName) {
        if let Some(it) = self.monitored.get_mut(host) {
            it.probed_at = None;
            it.last_heard = it.last_heard.max(now);
        }
    }

    /// Records that a host did not answer a probe, and returns the conclusion.
    pub(super) fn probe_failed(&mut self, now: Duration, host: &HostName) -> ProbeResult {
        /// Neighbours send an update twice a second, so a reachable one was heard within
        /// this time before the probe, or while the probe was outstanding.
        const MAX_SILENCE_BEFORE_PROBE: Duration = Duration::from_millis(200);
        let Some(it) = self.monitored.get_mut(host) else {
            return ProbeResult::Alive;
        };
        let Some(probed_at) = it.probed_at.take() else {
            return ProbeResult::Alive;
        };
        if now < it.last_heard + SUSPECT_AFTER {
            return ProbeResult::Alive;
        }
        let is_heard = |it: &Monitored| it.last_heard + MAX_SILENCE_BEFORE_PROBE > probed_at;
        if !self.monitored.values().any(is_heard) {
            return ProbeResult::AllSilent;
        }
        ProbeResult::Silent
    }

    /// Suspends suspicion of a host that was just marked silent.
    pub(super) fn suspend(&mut self, now: Duration, host: &HostName) {
        if let Some(it) = self.monitored.get_mut(host) {
            it.suspended_until = now + SUSPENSION;
        }
    }
}

/// The conclusion from an unanswered probe.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ProbeResult {
    /// The host was heard from meanwhile, or is no longer monitored.
    Alive,
    /// The host is silent while others are heard.
    Silent,
    /// No monitored host is heard; this host may be cut off itself.
    AllSilent,
}
