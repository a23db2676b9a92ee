//! Exits of endpoint processes.

use std::collections::BTreeSet;
use std::time::Duration;

use super::MAX_SUSPECTS;
use crate::Fingerprint;

/// The exit of an endpoint's process.
#[derive(Clone, Debug)]
pub(super) struct Exit {
    /// The time at which it was detected.
    pub(super) at: Duration,
    /// The time at which this host's information on it last changed.
    changed: Duration,
    /// The requests, and the parts of prompts, in flight there at the exit or up to
    /// `MAX_EXIT_DELAY` before.
    suspects: BTreeSet<Fingerprint>,
    /// Requests and parts after whose response a process kept running.
    cleared: BTreeSet<Fingerprint>,
}

impl Exit {
    pub(super) fn new(at: Duration, now: Duration) -> Self {
        Self {
            at,
            changed: now,
            suspects: BTreeSet::new(),
            cleared: BTreeSet::new(),
        }
    }

    /// Returns when this host's information on it last changed.
    pub(super) fn changed(&self) -> Duration {
        self.changed
    }

    /// Marks it as changed, so that it is sent again.
    pub(super) fn touch(&mut self, now: Duration) {
        self.changed = now;
    }

    /// Adds a suspect. Returns whether it is new.
    pub(super) fn add_suspect(&mut self, now: Duration, fingerprint: Fingerprint) -> bool {
        let is_alike = |it: &&Fingerprint| it.is_part() == fingerprint.is_part();
        let count = self.suspects.iter().filter(is_alike).count();
        let is_new = count < MAX_SUSPECTS && self.suspects.insert(fingerprint);
        if is_new {
            self.changed = now;
        }
        is_new
    }

    /// Clears a request. Returns whether that is new. A request may be cleared before it becomes a
    /// suspect here.
    pub(super) fn clear(&mut self, now: Duration, fingerprint: Fingerprint) -> bool {
        let is_new = self.cleared.len() < 2 * MAX_SUSPECTS && self.cleared.insert(fingerprint);
        if is_new {
            self.changed = now;
        }
        is_new
    }

    /// Returns whether a request is a suspect and not cleared.
    pub(super) fn is_suspect(&self, fingerprint: Fingerprint) -> bool {
        self.suspects.contains(&fingerprint) && !self.cleared.contains(&fingerprint)
    }

    /// Returns the suspects that are not cleared.
    pub(super) fn uncleared_suspects(&self) -> impl Iterator<Item = Fingerprint> {
        self.suspects.difference(&self.cleared).copied()
    }

    /// Returns all suspects.
    pub(super) fn suspects(&self) -> impl Iterator<Item = Fingerprint> {
        self.suspects.iter().copied()
    }

    /// Returns the cleared requests.
    pub(super) fn cleared(&self) -> impl Iterator<Item = Fingerprint> {
        self.cleared.iter().copied()
    }
}
