//! Errors in the content of a response.

use derive_more::Display;

use crate::sse;

/// An error in the content of a response.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum Fault {
    /// The response or a chunk of it belongs to another attempt.
    #[display("part of another attempt")]
    Foreign,
    /// A chunk is missing, is duplicated or follows the last chunk, or a message follows
    /// the end marker.
    #[display("part out of order")]
    Disordered,
    /// The content violates the protocol.
    #[display("malformed")]
    Malformed,
    /// The response ended without a finish reason or before its end marker.
    #[display("ended early")]
    Unfinished,
    /// The engine reported an error in the stream.
    #[display("failed at the engine")]
    Failed,
    /// The response exceeds a size limit.
    #[display("too large")]
    TooLarge,
}

impl From<sse::Error> for Fault {
    fn from(err: sse::Error) -> Self {
        match err {
            sse::Error::Encoding => Self::Malformed,
            sse::Error::TooLarge => Self::TooLarge,
        }
    }
}
