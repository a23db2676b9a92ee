//! What the store keeps of requests that are held.

use std::time::Duration;

use super::Quarantine;
use crate::Print;

impl Quarantine {
    /// Requests that the store doesn't have yet.
    #[must_use]
    pub fn unkept(&self) -> Vec<Print> {
        let unkept = self.held.iter().filter(|it| !it.1.is_kept);
        unkept.map(|it| *it.0).collect()
    }

    /// Takes that the store has these.
    pub fn keep(&mut self, now: Duration, prints: &[Print]) {
        for print in prints {
            if let Some(it) = self.held.get_mut(print) {
                it.is_kept = true;
                it.changed = now;
                self.has_news = true;
            }
        }
    }

    /// Takes that the store came back from an older copy, which may lack what it had.
    pub(crate) fn restored(&mut self) {
        for it in self.held.values_mut() {
            it.is_kept = false;
        }
    }

    /// Holds what the store has from before this host started.
    pub fn recall(&mut self, now: Duration, prints: &[Print]) {
        for print in prints {
            if !self.held.contains_key(print) {
                self.hold(now, *print, now);
            }
        }
        self.keep(now, prints);
    }

    /// Requests that were let go since the last call.
    pub fn take_released(&mut self) -> Vec<Print> {
        std::mem::take(&mut self.released)
    }
}
