//! This host's verdicts on versions, for the operators' status.

use std::collections::HashMap;
use std::sync::{Mutex, MutexGuard, PoisonError};

use decide::action::Verdict;
use kernel::VersionId;

/// The quarantined versions.
#[derive(Debug, Default)]
pub(crate) struct Verdicts {
    quarantined: Mutex<HashMap<VersionId, Verdict>>,
}

impl Verdicts {
    pub(crate) fn record(&self, version: &VersionId, verdict: Verdict) {
        let mut quarantined = self.lock();
        match verdict {
            Verdict::Healthy => quarantined.remove(version),
            Verdict::Quarantined(_) => quarantined.insert(version.clone(), verdict),
        };
    }

    /// Returns the text that describes a version's health.
    pub(crate) fn description(&self, version: &VersionId) -> String {
        match self.lock().get(version) {
            None | Some(Verdict::Healthy) => "healthy".to_owned(),
            Some(Verdict::Quarantined(cause)) => {
                format!("quarantined ({})", format!("{cause:?}").to_lowercase())
            }
        }
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<VersionId, Verdict>> {
        self.quarantined
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}
