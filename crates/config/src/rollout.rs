//! The roll-out of a version.

use derive_more::Display;
use kernel::{Revision, VersionId};
use serde::{Deserialize, Serialize};

/// A version that takes over another's work in steps; the document keeps it
/// under the id of the new version.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Rollout {
    /// The version whose work is taken over.
    pub replaces: VersionId,
    /// The share of that work, above 0 to 1, that each step gives to the new
    /// version; rising.
    pub steps: Vec<f64>,
    /// How the roll-out stands.
    #[serde(default)]
    pub state: RolloutState,
    /// The index of the step in force.
    #[serde(default)]
    pub step: usize,
    /// The revision with which that step began; set by [`crate::Document::apply`].
    #[serde(default)]
    pub begun: Revision,
    /// The revision that last changed this entry; set by [`crate::Document::apply`].
    #[serde(default)]
    pub changed: Revision,
}

impl Rollout {
    /// The steps of a roll-out that names none.
    pub const DEFAULT_STEPS: [f64; 4] = [0.01, 0.1, 0.5, 1.0];

    /// The share of the work that the new version gets now.
    #[must_use]
    pub fn share(&self) -> f64 {
        match self.state {
            RolloutState::Running | RolloutState::Paused => {
                self.steps.get(self.step).copied().unwrap_or(0.0)
            }
            RolloutState::Aborted => 0.0,
            RolloutState::Done => 1.0,
        }
    }
}

/// How a roll-out stands.
#[derive(Clone, Copy, Debug, Default, Display, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RolloutState {
    /// It goes on to the next step when the evidence allows it.
    #[default]
    #[display("running")]
    Running,
    /// It stays at its step until an operator resumes it.
    #[display("paused")]
    Paused,
    /// The new version gets none of the replaced version's work.
    #[display("aborted")]
    Aborted,
    /// The new version gets all of it.
    #[display("done")]
    Done,
}
