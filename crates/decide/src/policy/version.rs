//! A model version.

use kernel::{Money, VersionId};

/// A version of a model, with its prices.
#[derive(Clone, Debug)]
pub struct Version {
    /// Its identifier, `model@version`, the same on all hosts and in all revisions.
    pub id: VersionId,
    /// Whether it takes new work.
    pub state: State,
    /// The price of a million prompt tokens.
    pub prompt_price: Money,
    /// The price of a million completion tokens.
    pub completion_price: Money,
}

/// Whether a version takes new work.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum State {
    /// It takes all work that the profiles allow.
    Active,
    /// It takes this share (0 to 1) of the work that it could take.
    Trial(f64),
    /// It takes no new work, not even a retry or the next turn of a session.
    Withdrawn,
}

impl Version {
    /// What a call with this many tokens costs.
    #[must_use]
    pub fn cost(&self, prompt_tokens: u64, completion_tokens: u64) -> Money {
        self.prompt_price.per_million(prompt_tokens)
            + self.completion_price.per_million(completion_tokens)
    }
}
