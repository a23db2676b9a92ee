//! The versions that an engine has loaded, and the orders that load and unload them.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::plain::millis;
use crate::settings::EngineSettings;

/// The versions of an engine, each with the time at which it is ready.
#[derive(Debug)]
pub(crate) struct Loads {
    fences: bool,
    load: Duration,
    highest: u64,
    ready: BTreeMap<String, Duration>,
    changes: Vec<Change>,
}

/// The state that an order asks for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum Wanted {
    Loaded,
    Unloaded,
}

/// A version in the load report.
#[derive(Debug, Serialize)]
pub(crate) struct Loaded<'a> {
    id: &'a str,
    state: &'static str,
}

/// An order that was applied, with its fencing number.
#[derive(Debug, Serialize)]
pub(crate) struct Change {
    at_ms: u64,
    fencing: u64,
    stale: bool,
    version: String,
    wanted: Wanted,
}

impl Loads {
    pub(crate) fn new(settings: &EngineSettings) -> Self {
        let ready = settings.versions.iter();
        Self {
            fences: settings.fences,
            load: Duration::from_millis(settings.load_ms),
            highest: 0,
            ready: ready.map(|it| (it.clone(), Duration::ZERO)).collect(),
            changes: Vec::new(),
        }
    }

    pub(crate) fn is_loaded(&self, now: Duration, version: &str) -> bool {
        self.ready.get(version).is_some_and(|ready| *ready <= now)
    }

    /// Applies an order. An engine that checks fencing numbers refuses a stale order and returns
    /// the highest number seen as the error.
    pub(crate) fn order(
        &mut self,
        now: Duration,
        fencing: u64,
        version: &str,
        wanted: Wanted,
    ) -> Result<(), u64> {
        let stale = fencing < self.highest;
        if stale && self.fences {
            return Err(self.highest);
        }
        self.highest = self.highest.max(fencing);
        match wanted {
            Wanted::Loaded => {
                let ready = now + self.load;
                self.ready.entry(version.to_owned()).or_insert(ready);
            }
            Wanted::Unloaded => {
                self.ready.remove(version);
            }
        }
        self.changes.push(Change {
            at_ms: millis(now),
            fencing,
            stale,
            version: version.to_owned(),
            wanted,
        });
        Ok(())
    }

    pub(crate) fn report(&self, now: Duration) -> Vec<Loaded<'_>> {
        let state = |ready| if ready <= now { "loaded" } else { "loading" };
        self.ready
            .iter()
            .map(|(id, ready)| Loaded {
                id,
                state: state(*ready),
            })
            .collect()
    }

    pub(crate) fn changes(&self) -> &[Change] {
        &self.changes
    }
}
