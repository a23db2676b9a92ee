//! Errors at the start of the daemon.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use derive_more::{Display, Error as StdError};

/// An error at the start of the daemon. The report has further causes.
#[derive(Clone, Debug, Display, StdError, PartialEq, Eq)]
pub enum Error {
    /// The settings file can't be read.
    #[display("settings {}: can't be read", _0.display())]
    Settings(#[error(not(source))] PathBuf),
    /// The settings have faults, all of which are printed.
    #[display("{_0}")]
    Faults(#[error(not(source))] config::Faults),
    /// A key file can't be used.
    #[display("key file {}: can't be used", _0.display())]
    Key(#[error(not(source))] PathBuf),
    /// An address can't be bound.
    #[display("{_0}: can't listen")]
    Listen(#[error(not(source))] SocketAddr),
    /// The link to the other hosts can't be set up.
    #[display("the link to the other hosts can't be set up")]
    Link,
    /// The signal handlers can't be installed.
    #[display("the signal handlers can't be installed")]
    Signals,
}

impl Error {
    pub(crate) fn key(path: &Path) -> Self {
        Self::Key(path.to_owned())
    }
}
