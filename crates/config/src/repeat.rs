//! Whether a request may run again.

use derive_more::Display;
use serde::{Deserialize, Serialize};

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
}
