//! What can be wrong with an answer.

use derive_more::Display;

use crate::sse;

/// What is wrong with an answer's content.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum Fault {
    /// It belongs to another attempt.
    #[display("part of another attempt")]
    Foreign,
    /// A part is missing, came twice, or came after the end.
    #[display("part out of order")]
    Disordered,
    /// It isn't what the protocol says.
    #[display("malformed")]
    Malformed,
    /// It ended before its end mark.
    #[display("ended early")]
    Unfinished,
    /// The engine says that it failed.
    #[display("failed at the engine")]
    Failed,
    /// It is larger than is accepted.
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
