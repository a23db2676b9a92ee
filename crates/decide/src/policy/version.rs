//! Model versions.

use kernel::{Money, VersionId};

/// A version of a model, with its prices.
#[derive(Clone, Debug)]
pub struct Version {
    /// The identifier, `model@version`, the same on all hosts and in all revisions.
    pub id: VersionId,
    /// Whether it accepts new requests.
    pub state: State,
    /// The price of a million prompt tokens.
    pub prompt_price: Money,
    /// The price of a million completion tokens.
    pub completion_price: Money,
}

/// Whether a version accepts new requests.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum State {
    /// It accepts all requests that the profiles allow.
    Active,
    /// It accepts this share (0 to 1) of the requests that it is eligible for, or
    /// all of them if there is no usable active version. It also accepts the
    /// requests of sessions pinned to it.
    Trial(f64),
    /// It accepts no new attempts, including retries and later requests of a session.
    Withdrawn,
}

impl Version {
    /// Returns the cost of a call with these token counts.
    #[must_use]
    pub fn cost(&self, prompt_tokens: u64, completion_tokens: u64) -> Money {
        self.prompt_price.per_million(prompt_tokens)
            + self.completion_price.per_million(completion_tokens)
    }
}
