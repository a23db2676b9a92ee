//! Gossip updates on process exits and quarantined requests.

use std::cmp::Reverse;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::{QUARANTINE_TIME, Quarantine, quarantine_time};
use crate::Fingerprint;
use crate::endpoint::ProcessId;
use crate::rollout::Scope;

/// Minimum interval between periodic updates with all quarantined requests, for hosts that missed
/// them during a network partition.
const FULL_UPDATE_INTERVAL: Duration = Duration::from_secs(5);
/// Time for which a change is included in updates. It is sent in several, because each may be lost.
const CHANGE_RESEND_TIME: Duration = Duration::from_millis(1_200);
/// Maximum number of exits in one update; the most recently changed are sent.
const MAX_EXITS_PER_UPDATE: usize = 16;

/// One host's update on process exits and quarantined requests.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Update {
    /// Process exits.
    #[serde(rename = "ends")]
    pub exits: Vec<ExitReport>,
    /// Quarantined requests.
    #[serde(rename = "held")]
    pub quarantined: Vec<QuarantineReport>,
}

/// The exit of an endpoint's process.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ExitReport {
    /// The process.
    pub process: ProcessId,
    /// The time since it was detected.
    pub age: Duration,
    /// The requests in flight there at the exit or shortly before.
    pub suspects: Vec<Fingerprint>,
    /// Requests after whose response a process kept running.
    pub cleared: Vec<Fingerprint>,
}

/// A quarantined request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuarantineReport {
    /// The request.
    #[serde(rename = "print")]
    pub fingerprint: Fingerprint,
    /// The time since it was quarantined.
    pub age: Duration,
    /// Whether the store contains it.
    #[serde(rename = "is_kept")]
    pub is_persisted: bool,
}

impl Update {
    /// Returns whether the update contains nothing.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.exits.is_empty() && self.quarantined.is_empty()
    }
}

impl Quarantine {
    /// Builds an update for other hosts: the exits and quarantined requests that changed recently,
    /// or with [`Scope::Full`] all of them. It contains at most `MAX_EXITS_PER_UPDATE` exits. All
    /// quarantined requests are also included if `FULL_UPDATE_INTERVAL` has passed since the last
    /// such update.
    pub fn build_update(&mut self, now: Duration, scope: Scope) -> Update {
        self.expire(now);
        let is_included =
            |at: Duration| scope == Scope::Full || now.saturating_sub(at) <= CHANGE_RESEND_TIME;
        let mut exits: Vec<_> = self
            .exits
            .iter()
            .filter(|(_, it)| is_included(it.changed()))
            .collect();
        exits.sort_by_key(|(_, it)| Reverse(it.changed()));
        let exits = exits
            .into_iter()
            .take(MAX_EXITS_PER_UPDATE)
            .map(|(process, it)| ExitReport {
                process: *process,
                age: now.saturating_sub(it.at),
                suspects: it.suspects().collect(),
                cleared: it.cleared().collect(),
            });
        let is_full_due = now.saturating_sub(self.last_full_update) >= FULL_UPDATE_INTERVAL;
        if is_full_due {
            self.last_full_update = now;
        }
        let includes_all = is_full_due || scope == Scope::Full;
        let is_fresh = |at: Duration| now.saturating_sub(at) <= CHANGE_RESEND_TIME;
        let quarantined = self.quarantined.iter();
        let quarantined = quarantined.filter(|(_, it)| includes_all || is_fresh(it.changed));
        let quarantined = quarantined.map(|(fingerprint, it)| QuarantineReport {
            fingerprint: *fingerprint,
            age: now.saturating_sub(it.since),
            is_persisted: it.is_persisted,
        });
        Update {
            exits: exits.collect(),
            quarantined: quarantined.collect(),
        }
    }

    /// Applies another host's update.
    pub fn apply_update(&mut self, now: Duration, update: &Update) {
        self.expire(now);
        for it in &update.exits {
            self.apply_exit(now, it);
        }
        for it in &update.quarantined {
            self.apply_quarantined(now, it);
        }
    }

    fn apply_exit(&mut self, now: Duration, report: &ExitReport) {
        if report.age > QUARANTINE_TIME {
            return;
        }
        let mut is_new = !self.exits.contains_key(&report.process);
        if is_new {
            self.add_exit(now, report.process, now.saturating_sub(report.age));
        }
        for fingerprint in &report.cleared {
            if let Some(exit) = self.exits.get_mut(&report.process)
                && exit.clear(now, *fingerprint)
            {
                is_new = true;
                self.has_changes = true;
                if fingerprint.is_part() {
                    self.release_cleared_part(*fingerprint);
                } else {
                    self.release(*fingerprint);
                }
            }
        }
        for fingerprint in &report.suspects {
            is_new |= self.add_suspect(now, report.process, *fingerprint);
        }
        if is_new {
            self.quarantine_suspects(now, report.process);
        }
    }

    fn apply_quarantined(&mut self, now: Duration, report: &QuarantineReport) {
        let is_known = self.quarantined.contains_key(&report.fingerprint);
        let is_current = report.age < quarantine_time(report.fingerprint);
        let is_refuted =
            self.is_cleared(report.fingerprint) || self.is_explained(report.fingerprint);
        if is_current && !is_known && !is_refuted {
            self.add_quarantined(now, report.fingerprint, now.saturating_sub(report.age));
        }
        let is_persisted = self
            .quarantined
            .get(&report.fingerprint)
            .is_some_and(|it| it.is_persisted);
        if report.is_persisted && !is_persisted {
            self.mark_persisted(now, &[report.fingerprint]);
        }
    }

    /// Returns whether this host knows that a request quarantined elsewhere was cleared. A part may
    /// be the cause of some exits although it was sound before.
    fn is_cleared(&self, fingerprint: Fingerprint) -> bool {
        if fingerprint.is_part() {
            return false;
        }
        let found = self
            .exits_by_request
            .get(&fingerprint)
            .into_iter()
            .flatten();
        let mut exits = found.filter_map(|it| self.exits.get(it));
        exits.any(|it| !it.is_suspect(fingerprint))
    }
}
