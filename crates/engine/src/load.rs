//! Load reports.

use kernel::{HostName, Incarnation, VersionId};
use serde::Deserialize;

/// What an endpoint said about itself, `age_ms` before it answered.
#[derive(Clone, Debug, Deserialize, PartialEq, Eq)]
pub struct Load {
    /// Its name.
    pub name: HostName,
    /// Its life.
    pub incarnation: Incarnation,
    /// Whether it takes new work.
    pub state: State,
    /// Calls that run.
    pub running: u32,
    /// Calls that wait.
    pub waiting: u32,
    /// Calls that can run at the same time.
    pub slots: u32,
    /// The versions that an engine has or is loading.
    #[serde(default)]
    pub versions: Vec<VersionLoad>,
    /// The age of the report, in milliseconds.
    #[serde(default)]
    pub age_ms: u64,
}

/// Whether an endpoint takes new work.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq, Hash)]
#[serde(rename_all = "snake_case")]
pub enum State {
    /// It does.
    Live,
    /// It doesn't any more.
    Leaving,
}

/// A version on an engine.
#[derive(Clone, Debug, Deserialize, PartialEq, Eq)]
pub struct VersionLoad {
    /// The version.
    pub id: VersionId,
    /// Whether it can answer.
    pub state: VersionState,
}

/// Whether a version can answer.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq, Hash)]
#[serde(rename_all = "snake_case")]
pub enum VersionState {
    /// It can.
    Loaded,
    /// It can't yet.
    Loading,
}
