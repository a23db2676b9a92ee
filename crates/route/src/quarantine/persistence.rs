//! Persistence of quarantined requests in the store.

use std::time::Duration;

use super::Quarantine;
use crate::Fingerprint;

impl Quarantine {
    /// Returns the quarantined requests that the store doesn't contain yet.
    #[must_use]
    pub fn unpersisted(&self) -> Vec<Fingerprint> {
        let unpersisted = self.quarantined.iter().filter(|it| !it.1.is_persisted);
        unpersisted.map(|it| *it.0).collect()
    }

    /// Records that the store contains these requests.
    pub fn mark_persisted(&mut self, now: Duration, fingerprints: &[Fingerprint]) {
        for fingerprint in fingerprints {
            if let Some(it) = self.quarantined.get_mut(fingerprint) {
                it.is_persisted = true;
                it.changed = now;
                self.has_changes = true;
            }
        }
    }

    /// Records that the store was restored from an older copy, which may lack some requests.
    pub(crate) fn store_restored(&mut self) {
        for it in self.quarantined.values_mut() {
            it.is_persisted = false;
        }
    }

    /// Quarantines requests that the store contains from before this host's start.
    pub fn load_persisted(&mut self, now: Duration, fingerprints: &[Fingerprint]) {
        for fingerprint in fingerprints {
            if !self.quarantined.contains_key(fingerprint) {
                self.add_quarantined(now, *fingerprint, now);
            }
        }
        self.mark_persisted(now, fingerprints);
    }

    /// Takes the requests released from quarantine since the last call.
    pub fn take_released(&mut self) -> Vec<Fingerprint> {
        std::mem::take(&mut self.released)
    }
}
