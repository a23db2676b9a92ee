//! Versions of models: state and token prices.

use derive_more::Display;
use kernel::{Money, Revision};
use serde::{Deserialize, Serialize};

use crate::entry_check::EntryCheck;
use crate::schema::{Accepts, DefaultValue, Key, Section, Shape};
use crate::table::Table;

/// A version of a model, with its state and token prices.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Version {
    /// The state of the version.
    #[serde(default)]
    pub state: VersionState,
    /// The price of a million prompt tokens, in microcents; zero if it is missing.
    #[serde(rename = "prompt_microcents_per_million", default)]
    pub prompt: Money,
    /// The price of a million completion tokens, in microcents; zero if it is missing.
    #[serde(rename = "completion_microcents_per_million", default)]
    pub completion: Money,
    /// The revision that last changed this entry; set by [`crate::Document::apply`].
    #[serde(default)]
    pub changed: Revision,
}

impl Version {
    /// Returns the cost of a request with these token counts.
    #[must_use]
    pub fn cost(&self, prompt_tokens: u64, completion_tokens: u64) -> Money {
        self.prompt.per_million(prompt_tokens) + self.completion.per_million(completion_tokens)
    }

    /// Returns whether the version may get new requests.
    #[must_use]
    pub fn is_active(&self) -> bool {
        self.state == VersionState::Active
    }

    pub(crate) const SECTION: Section = Section {
        name: "",
        about: "a version of a model, its state and its token prices",
        shape: Shape::One,
        keys: &[&STATE, &PROMPT, &COMPLETION],
        sections: &[],
    };

    pub(crate) fn read(table: &Table<'_>) -> Self {
        Self {
            state: table.word(&STATE, &VersionState::WORDS),
            prompt: Money(table.integer(&PROMPT)),
            completion: Money(table.integer(&COMPLETION)),
            changed: Revision(0),
        }
    }

    pub(crate) fn check(&self, check: &mut EntryCheck) {
        check.integer(&PROMPT, self.prompt.0);
        check.integer(&COMPLETION, self.completion.0);
    }
}

/// The state of a version.
#[derive(Clone, Copy, Debug, Default, Display, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum VersionState {
    /// The version may get new requests.
    #[default]
    #[display("active")]
    Active,
    /// The version gets no new requests, even if a profile allows it.
    #[display("withdrawn")]
    Withdrawn,
}

impl VersionState {
    const WORDS: [(&str, Self); 2] = [("active", Self::Active), ("withdrawn", Self::Withdrawn)];
}

const STATE: Key = Key {
    name: "state",
    accepts: Accepts::OneOf(&["active", "withdrawn"]),
    default: DefaultValue::Word("active"),
    about: "the state; only an active version gets new requests",
};

const PROMPT: Key = Key {
    name: "prompt_microcents_per_million",
    accepts: Accepts::Integer {
        min: 1,
        max: 1_000_000_000_000_000,
    },
    default: DefaultValue::Required,
    about: "the price of a million prompt tokens, in microcents",
};

const COMPLETION: Key = Key {
    name: "completion_microcents_per_million",
    accepts: Accepts::Integer {
        min: 1,
        max: 1_000_000_000_000_000,
    },
    default: DefaultValue::Required,
    about: "the price of a million completion tokens, in microcents",
};
