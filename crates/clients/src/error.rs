//! What can go wrong with a call, told by what it means for the call's effect.

use derive_more::{Display, Error};
use serde::Deserialize;

use crate::Version;

/// Why a call failed. Reads fail with the last two, which mean the same to them.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
pub enum Error {
    /// A condition didn't hold; nothing was written.
    #[display("{} conditions did not hold", failed.len())]
    Conflict {
        /// The conditions that didn't hold.
        failed: Vec<Failed>,
    },
    /// The call had no effect and won't have one.
    #[display("not applied: {_0}")]
    NotApplied(#[error(not(source))] Reason),
    /// The call may have taken effect, or may still.
    #[display("unknown whether applied: {_0}")]
    Unknown(#[error(not(source))] Reason),
}

/// A condition that didn't hold.
#[derive(Clone, Debug, Deserialize, PartialEq, Eq)]
pub struct Failed {
    /// The row's key, as in the condition.
    pub key: String,
    /// The version at which the row stands, or nothing when there is none.
    pub version: Option<Version>,
}

/// What went wrong.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum Reason {
    /// The service has an outage by what other calls found; nothing was sent.
    #[display("outage, known from earlier calls")]
    Open,
    /// The service itself says that it has an outage.
    #[display("outage, by the service's own word")]
    Outage,
    /// The exchange broke.
    #[display("{_0}")]
    Http(http::Error),
    /// The service answered with a status that the protocol doesn't name.
    #[display("status {_0}")]
    Status(u16),
}

impl Error {
    /// The error for an exchange that broke.
    pub(crate) fn exchange(err: http::Error) -> Self {
        match err {
            http::Error::NotSent(_) => Self::NotApplied(Reason::Http(err)),
            _ => Self::Unknown(Reason::Http(err)),
        }
    }

    /// The error for a status that isn't the call's success or its own answer.
    pub(crate) fn status(status: http::Status) -> Self {
        match status {
            http::Status::ServiceUnavailable => Self::NotApplied(Reason::Outage),
            it if it.is_client_error() => Self::NotApplied(Reason::Status(it.into())),
            it => Self::Unknown(Reason::Status(it.into())),
        }
    }

    /// Whether the failure speaks of the service's health and not of the call's content.
    pub(crate) fn is_outage(&self) -> bool {
        match self {
            Self::Conflict { .. } | Self::NotApplied(Reason::Status(_) | Reason::Open) => false,
            Self::NotApplied(Reason::Outage | Reason::Http(_)) | Self::Unknown(_) => true,
        }
    }
}
