//! Errors of sending requests and reading bodies.

use std::io;

use derive_more::{Display, Error};

/// An error of sending a request or reading a body.
///
/// [`Error::NotSent`] means that the peer can't have acted on the request, [`Error::MaybeSent`]
/// that it may have, which decides whether the request can be retried. The other variants concern
/// the reading of a response or body.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
pub enum Error {
    /// No byte of the request was sent, so the peer can't have acted on it.
    #[display("not sent: {_0}")]
    NotSent(#[error(not(source))] Cause),
    /// Bytes of the request were sent, and the exchange failed while the request was being written
    /// or before a final response began.
    #[display("no response: {_0}")]
    MaybeSent(#[error(not(source))] Cause),
    /// Reading the message failed after its first byte, for example because it ended early, was
    /// malformed, or took too long.
    #[display("cut: {_0}")]
    Cut(#[error(not(source))] Cause),
    /// The body is larger than the reader's limit.
    #[display("body of more than {limit} bytes")]
    TooLarge {
        /// The limit, in bytes.
        limit: usize,
    },
    /// The body is complete but doesn't parse as the expected JSON.
    #[display("body is not the expected JSON: line {line}, column {column}")]
    Json {
        /// Line of the parse error, starting at 1.
        line: usize,
        /// Column of the parse error, as reported by `serde_json`.
        column: usize,
    },
}

/// The cause of a failed exchange.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum Cause {
    /// The peer's host refused the connection.
    #[display("connection refused")]
    Refused,
    /// A timeout expired.
    #[display("timed out")]
    Timeout,
    /// The connection was closed or reset, or a body ended early or was dropped.
    #[display("connection closed")]
    Closed,
    /// The message isn't valid HTTP/1.1 or uses a feature that this crate doesn't support, its head
    /// is too large, or the target of a request to send is invalid.
    #[display("malformed")]
    Malformed,
    /// Any other I/O error.
    #[display("{_0}")]
    Io(io::ErrorKind),
}

impl From<&io::Error> for Cause {
    fn from(err: &io::Error) -> Self {
        match err.kind() {
            io::ErrorKind::ConnectionRefused => Self::Refused,
            io::ErrorKind::TimedOut => Self::Timeout,
            io::ErrorKind::ConnectionReset
            | io::ErrorKind::ConnectionAborted
            | io::ErrorKind::BrokenPipe
            | io::ErrorKind::NotConnected
            | io::ErrorKind::UnexpectedEof => Self::Closed,
            io::ErrorKind::InvalidData => Self::Malformed,
            kind => Self::Io(kind),
        }
    }
}

impl Error {
    /// Converts an error of reading a body. An `Error` that was wrapped in an [`io::Error`],
    /// such as [`Error::TooLarge`], is unwrapped.
    pub(crate) fn from_body_error(err: &io::Error) -> Self {
        match err.get_ref().and_then(|it| it.downcast_ref::<Self>()) {
            Some(inner) => *inner,
            None => Self::Cut(err.into()),
        }
    }
}

impl From<Error> for io::Error {
    fn from(err: Error) -> Self {
        Self::other(err)
    }
}

impl From<&serde_json::Error> for Error {
    fn from(err: &serde_json::Error) -> Self {
        Self::Json {
            line: err.line(),
            column: err.column(),
        }
    }
}
