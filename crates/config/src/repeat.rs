//! Whether a request may run again.

use derive_more::Display;
use serde::{Deserialize, Serialize};

use crate::schema::{Accepts, Fallback, Key};

/// Whether a request may run a second time after an attempt of unknown end.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Repeat {
    /// Running it twice is harmless, so it may be retried and hedged.
    #[display("idempotent")]
    Idempotent,
    /// It runs once or not at all: a booking, a catalogue entry, a seat hold.
    #[display("at_most_once")]
    AtMostOnce,
}

impl Repeat {
    pub(crate) const WORDS: [(&str, Self); 2] = [
        ("idempotent", Self::Idempotent),
        ("at_most_once", Self::AtMostOnce),
    ];

    /// The key that says it, in profiles and in the routes of services.
    pub(crate) const fn key(about: &'static str) -> Key {
        Key {
            name: "repeat",
            accepts: Accepts::OneOf(&["idempotent", "at_most_once"]),
            fallback: Fallback::Required,
            about,
        }
    }
}
