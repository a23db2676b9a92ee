//! What is known of one version of a model.

use derive_more::Display;
use kernel::{Money, Revision};
use serde::{Deserialize, Serialize};

/// One version of a model: whether it may get work, and what its tokens cost.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Version {
    /// Whether it may get new work.
    #[serde(default)]
    pub state: VersionState,
    /// Microcents for a million prompt tokens; zero means that the price is missing.
    #[serde(rename = "prompt_microcents_per_million", default)]
    pub prompt: Money,
    /// Microcents for a million completion tokens; zero means that the price is missing.
    #[serde(rename = "completion_microcents_per_million", default)]
    pub completion: Money,
    /// The revision that last changed this entry; set by [`crate::Document::apply`].
    #[serde(default)]
    pub changed: Revision,
}

impl Version {
    /// What a request of this size costs.
    #[must_use]
    pub fn cost(&self, prompt_tokens: u64, completion_tokens: u64) -> Money {
        self.prompt.per_million(prompt_tokens) + self.completion.per_million(completion_tokens)
    }

    /// Whether it may get new work.
    #[must_use]
    pub fn is_active(&self) -> bool {
        self.state == VersionState::Active
    }
}

/// Whether a version may get new work.
#[derive(Clone, Copy, Debug, Default, Display, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum VersionState {
    /// It may.
    #[default]
    #[display("active")]
    Active,
    /// It may not, whatever profile names it.
    #[display("withdrawn")]
    Withdrawn,
}
