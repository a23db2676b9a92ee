//! The stored response of a request, for retries.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// A complete response, as it is sent again to a retry of the request.
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
    /// Returns the size in memory and in a row, in bytes.
    #[must_use]
    pub fn len(&self) -> usize {
        self.media_type.len() + self.body.len()
    }

    /// Whether the response has neither a media type nor a body.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}
