//! Errors of calls, classified by whether the call may have taken effect.

use derive_more::{Display, Error};
use serde::Deserialize;

use crate::Version;

/// Error of a call. Reads return only the last two variants, and callers can
/// treat both alike.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
pub enum Error {
    /// At least one condition of the transaction failed; nothing was written.
    #[display("{} conditions did not hold", failed.len())]
    Conflict {
        /// The failed conditions.
        failed: Vec<Failed>,
    },
    /// The call had no effect and won't have one later.
    ///
    /// For a call with [`http::RetryPolicy::Idempotent`], this holds only for the last
    /// attempt: an earlier one on a pooled connection may have taken effect.
    #[display("not applied: {_0}")]
    NotApplied(#[error(not(source))] Reason),
    /// The call may have taken effect, or may still do so.
    #[display("unknown whether applied: {_0}")]
    Unknown(#[error(not(source))] Reason),
}

/// A failed condition of a transaction.
#[derive(Clone, Debug, Deserialize, PartialEq, Eq)]
pub struct Failed {
    /// Key of the row, as in the condition.
    pub key: String,
    /// Current version of the row, or `None` if there is no such row.
    pub version: Option<Version>,
}

/// Cause of a failed call.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum Reason {
    /// The circuit breaker is open after earlier failures; nothing was sent.
    #[display("circuit breaker is open after earlier failures; request not sent")]
    Open,
    /// The service responded with 503.
    #[display("service responded that it is unavailable")]
    Outage,
    /// The HTTP exchange failed, or the response body couldn't be read or parsed.
    #[display("{_0}")]
    Http(http::Error),
    /// The service responded with a status that the protocol doesn't define.
    #[display("unexpected status {_0}")]
    Status(u16),
}

impl Error {
    /// Converts an error of [`http::Client::send`]. Only [`http::Error::NotSent`]
    /// rules out that the call took effect.
    pub(crate) fn from_http(err: http::Error) -> Self {
        match err {
            http::Error::NotSent(_) => Self::NotApplied(Reason::Http(err)),
            _ => Self::Unknown(Reason::Http(err)),
        }
    }

    /// Returns the error for a status that the call doesn't handle itself.
    pub(crate) fn from_status(status: http::Status) -> Self {
        match status {
            http::Status::ServiceUnavailable => Self::NotApplied(Reason::Outage),
            it if it.is_client_error() => Self::NotApplied(Reason::Status(it.into())),
            it => Self::Unknown(Reason::Status(it.into())),
        }
    }

    /// Returns whether the circuit breaker counts the error as a failure. It
    /// counts all errors except conflicts, 4xx statuses and its own refusals.
    pub(crate) fn is_outage(&self) -> bool {
        match self {
            Self::Conflict { .. } | Self::NotApplied(Reason::Status(_) | Reason::Open) => false,
            Self::NotApplied(Reason::Outage | Reason::Http(_)) | Self::Unknown(_) => true,
        }
    }
}
