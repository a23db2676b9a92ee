//! The answer of a run, kept to be repeated.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// A whole answer as it is repeated to a caller that asks again.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Outcome {
    /// The HTTP status.
    pub status: u16,
    /// The media type of the body.
    pub media_type: Arc<str>,
    /// The body.
    pub body: Arc<str>,
}

impl Outcome {
    /// The bytes that it takes in memory and in a row.
    #[must_use]
    pub fn len(&self) -> usize {
        self.media_type.len() + self.body.len()
    }

    /// Whether the answer has neither a media type nor a body.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}
