//! How urgent a request is.

use derive_more::Display;
use serde::{Deserialize, Serialize};

use crate::schema::{Accepts, Fallback, Key};

/// How urgent a request is; the most urgent sorts first.
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
    /// Seat holds and gate scans, which can't wait.
    #[display("urgent")]
    Urgent,
    /// A person waits for the answer.
    #[default]
    #[display("interactive")]
    Interactive,
    /// Nobody waits: summaries overnight.
    #[display("batch")]
    Batch,
}

impl Priority {
    pub(crate) const WORDS: [(&str, Self); 3] = [
        ("urgent", Self::Urgent),
        ("interactive", Self::Interactive),
        ("batch", Self::Batch),
    ];

    /// The key that says it, in profiles and in the routes of services.
    pub(crate) const fn key(about: &'static str) -> Key {
        Key {
            name: "priority",
            accepts: Accepts::OneOf(&["urgent", "interactive", "batch"]),
            fallback: Fallback::Word("interactive"),
            about,
        }
    }
}
