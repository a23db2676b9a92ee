//! Retry policies of requests.

use derive_more::Display;
use serde::{Deserialize, Serialize};

use crate::schema::{Accepts, DefaultValue, Key};

/// Whether a request may be sent again when the outcome of an attempt is unknown.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RetryPolicy {
    /// The request may run twice, so it may be retried and hedged.
    #[display("idempotent")]
    Idempotent,
    /// The request must not run twice, such as a booking or a seat hold.
    #[display("at_most_once")]
    AtMostOnce,
}

impl RetryPolicy {
    pub(crate) const WORDS: [(&str, Self); 2] = [
        ("idempotent", Self::Idempotent),
        ("at_most_once", Self::AtMostOnce),
    ];

    /// Returns the key of the retry policy in profiles and in routes of services.
    pub(crate) const fn key(about: &'static str) -> Key {
        Key {
            name: "repeat",
            accepts: Accepts::OneOf(&["idempotent", "at_most_once"]),
            default: DefaultValue::Required,
            about,
        }
    }
}
