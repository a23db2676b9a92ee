//! Ends of endpoints' processes.

use std::collections::BTreeSet;
use std::time::Duration;

use super::MOST_SUSPECTS;
use crate::Print;

/// The end of an endpoint's process.
#[derive(Clone, Debug)]
pub(super) struct End {
    /// When it was found.
    pub(super) at: Duration,
    /// When this host last learned something of it.
    changed: Duration,
    /// The requests that were under way there.
    suspects: BTreeSet<Print>,
    /// Those of them that an endpoint outlived.
    cleared: BTreeSet<Print>,
}

impl End {
    pub(super) fn new(at: Duration, now: Duration) -> Self {
        Self {
            at,
            changed: now,
            suspects: BTreeSet::new(),
            cleared: BTreeSet::new(),
        }
    }

    /// When this host last learned something of it.
    pub(super) fn changed(&self) -> Duration {
        self.changed
    }

    /// Has it told once more.
    pub(super) fn touch(&mut self, now: Duration) {
        self.changed = now;
    }

    /// Finds a request there, and says whether that is new.
    pub(super) fn suspect(&mut self, now: Duration, print: Print) -> bool {
        let is_new = self.suspects.len() < MOST_SUSPECTS && self.suspects.insert(print);
        if is_new {
            self.changed = now;
        }
        is_new
    }

    /// Takes that a request ends no endpoint, and says whether that is new. It can be
    /// known of one that hasn't been found here yet.
    pub(super) fn clear(&mut self, now: Duration, print: Print) -> bool {
        let is_new = self.cleared.len() < MOST_SUSPECTS && self.cleared.insert(print);
        if is_new {
            self.changed = now;
        }
        is_new
    }

    /// Whether a request was there and hasn't been cleared.
    pub(super) fn accuses(&self, print: Print) -> bool {
        self.suspects.contains(&print) && !self.cleared.contains(&print)
    }

    /// The requests that were there and haven't been cleared.
    pub(super) fn accused(&self) -> impl Iterator<Item = Print> {
        self.suspects.difference(&self.cleared).copied()
    }

    /// The requests that were there.
    pub(super) fn suspects(&self) -> impl Iterator<Item = Print> {
        self.suspects.iter().copied()
    }

    /// Those that were cleared.
    pub(super) fn cleared(&self) -> impl Iterator<Item = Print> {
        self.cleared.iter().copied()
    }
}
