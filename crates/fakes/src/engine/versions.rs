//! The versions that an engine has loaded, and the orders that load and unload them.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::plain_service::millis;
use crate::settings::EngineSettings;

/// The versions of an engine, each with the time at which it is ready.
#[derive(Debug)]
pub(crate) struct LoadedVersions {
    checks_fencing: bool,
    load_time: Duration,
    highest_fencing: u64,
    ready_at: BTreeMap<String, Duration>,
    applied: Vec<AppliedOrder>,
}

/// The state that an order asks for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum TargetState {
    Loaded,
    Unloaded,
}

/// A version in the load report.
#[derive(Debug, Serialize)]
pub(crate) struct VersionState<'a> {
    id: &'a str,
    state: &'static str,
}

/// An order that was applied, with its fencing number.
#[derive(Debug, Serialize)]
pub(crate) struct AppliedOrder {
    /// Monotonic time in milliseconds.
    at_ms: u64,
    fencing: u64,
    stale: bool,
    version: String,
    wanted: TargetState,
}

impl LoadedVersions {
    pub(crate) fn new(settings: &EngineSettings) -> Self {
        let versions = settings.versions.iter();
        Self {
            checks_fencing: settings.fences,
            load_time: Duration::from_millis(settings.load_ms),
            highest_fencing: 0,
            ready_at: versions.map(|it| (it.clone(), Duration::ZERO)).collect(),
            applied: Vec::new(),
        }
    }

    pub(crate) fn is_loaded(&self, now: Duration, version: &str) -> bool {
        self.ready_at
            .get(version)
            .is_some_and(|ready_at| *ready_at <= now)
    }

    /// Applies an order. An engine that checks fencing numbers refuses a stale order and returns
    /// the highest number seen as the error.
    pub(crate) fn order(
        &mut self,
        now: Duration,
        fencing: u64,
        version: &str,
        wanted: TargetState,
    ) -> Result<(), u64> {
        let stale = fencing < self.highest_fencing;
        if stale && self.checks_fencing {
            return Err(self.highest_fencing);
        }
        self.highest_fencing = self.highest_fencing.max(fencing);
        match wanted {
            TargetState::Loaded => {
                let ready_at = now + self.load_time;
                self.ready_at.entry(version.to_owned()).or_insert(ready_at);
            }
            TargetState::Unloaded => {
                self.ready_at.remove(version);
            }
        }
        self.applied.push(AppliedOrder {
            at_ms: millis(now),
            fencing,
            stale,
            version: version.to_owned(),
            wanted,
        });
        Ok(())
    }

    pub(crate) fn report(&self, now: Duration) -> Vec<VersionState<'_>> {
        let state = |ready_at| if ready_at <= now { "loaded" } else { "loading" };
        self.ready_at
            .iter()
            .map(|(id, ready_at)| VersionState {
                id,
                state: state(*ready_at),
            })
            .collect()
    }

    pub(crate) fn applied(&self) -> &[AppliedOrder] {
        &self.applied
    }
}
