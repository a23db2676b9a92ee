//! What can go wrong with a request, told by what it means for the request.

use std::io;

use derive_more::{Display, Error};

/// Why a request has no whole answer.
///
/// The variants answer the question that decides about a retry: can the peer
/// have acted on the request?
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
pub enum Error {
    /// Nothing of the request left this host, so the peer can't have acted on it.
    #[display("not sent: {_0}")]
    NotSent(#[error(not(source))] Cause),
    /// Bytes of the request may have left and no answer came.
    #[display("no answer: {_0}")]
    MaybeSent(#[error(not(source))] Cause),
    /// The answer began and broke off.
    #[display("cut: {_0}")]
    Cut(#[error(not(source))] Cause),
    /// The body is larger than the reader allows, in bytes.
    #[display("body of more than {limit} bytes")]
    TooLarge {
        /// The greatest size that is accepted.
        limit: usize,
    },
    /// The body came whole but isn't the JSON that was asked for.
    #[display("body is not the JSON asked for, at line {line}, column {column}")]
    Json {
        /// Line of the fault, from 1.
        line: usize,
        /// Column of the fault, from 1.
        column: usize,
    },
}

/// The event that broke an exchange.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum Cause {
    /// The peer's host refused the connection.
    #[display("connection refused")]
    Refused,
    /// A time limit passed.
    #[display("timed out")]
    Timeout,
    /// The peer closed the connection.
    #[display("connection closed")]
    Closed,
    /// What came isn't HTTP/1.1 as this crate accepts it.
    #[display("malformed")]
    Malformed,
    /// Any other failure of the operating system's network.
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
    /// The error for a body that failed while it was read.
    ///
    /// Readers speak [`io::Error`], so a [`Error::TooLarge`] travels inside one.
    pub(crate) fn body(err: &io::Error) -> Self {
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
