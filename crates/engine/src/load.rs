//! Load reports of endpoints.

use kernel::{HostName, Incarnation, VersionId};
use serde::Deserialize;

/// A load report, which was `age_ms` old when the endpoint sent it.
#[derive(Clone, Debug, Deserialize, PartialEq, Eq)]
pub struct Load {
    /// The endpoint's name.
    pub name: HostName,
    /// The endpoint's incarnation.
    pub incarnation: Incarnation,
    /// Whether the endpoint accepts new calls.
    pub state: State,
    /// The number of running calls.
    pub running: u32,
    /// The number of queued calls.
    pub waiting: u32,
    /// The maximum number of calls that run concurrently.
    pub slots: u32,
    /// The versions that are loaded or being loaded on an engine.
    #[serde(default)]
    pub versions: Vec<VersionLoad>,
    /// The age of the report, in milliseconds.
    #[serde(default)]
    pub age_ms: u64,
}

/// The state of an endpoint.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq, Hash)]
#[serde(rename_all = "snake_case")]
pub enum State {
    /// Accepts new calls.
    Live,
    /// No longer accepts new calls.
    Leaving,
}

/// The state of one version on an engine.
#[derive(Clone, Debug, Deserialize, PartialEq, Eq)]
pub struct VersionLoad {
    /// The version's id.
    pub id: VersionId,
    /// Whether the version can serve requests.
    pub state: VersionState,
}

/// The loading state of a version.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq, Hash)]
#[serde(rename_all = "snake_case")]
pub enum VersionState {
    /// Ready to serve requests.
    Loaded,
    /// Still being loaded.
    Loading,
}
