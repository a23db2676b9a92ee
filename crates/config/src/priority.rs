//! Priorities of requests.

use derive_more::Display;
use serde::{Deserialize, Serialize};

use crate::schema::{Accepts, DefaultValue, Key};

/// The priority of a request; the highest priority sorts first.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    Display,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Serialize,
    Deserialize,
)]
#[serde(rename_all = "snake_case")]
pub enum Priority {
    /// Requests that can't wait, such as seat holds and gate scans.
    #[display("urgent")]
    Urgent,
    /// A person waits for the response.
    #[default]
    #[display("interactive")]
    Interactive,
    /// No one waits for the response, such as for nightly summaries.
    #[display("batch")]
    Batch,
}

impl Priority {
    pub(crate) const WORDS: [(&str, Self); 3] = [
        ("urgent", Self::Urgent),
        ("interactive", Self::Interactive),
        ("batch", Self::Batch),
    ];

    /// Returns the key of the priority in profiles and in routes of services.
    pub(crate) const fn key(about: &'static str) -> Key {
        Key {
            name: "priority",
            accepts: Accepts::OneOf(&["urgent", "interactive", "batch"]),
            default: DefaultValue::Word("interactive"),
            about,
        }
    }
}
