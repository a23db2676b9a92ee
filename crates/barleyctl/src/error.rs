//! Errors of commands.

use std::net::SocketAddr;
use std::path::PathBuf;

use config::{EntryName, Faults};
use derive_more::{Display, Error};
use gate::problem::{Problem, Reason};
use kernel::{ChangeId, Revision};

use crate::Exit;
use crate::wait::Propagation;

/// The reason why a command failed.
#[derive(Debug, Display, Error)]
pub(crate) enum Error {
    /// The command line lacks an argument that clap doesn't enforce.
    #[display("{_0}")]
    Usage(#[error(not(source))] String),
    /// A file or standard input can't be read.
    #[display("can't read {}", _0.display())]
    ReadFile(#[error(not(source))] PathBuf),
    /// A file can't be written.
    #[display("can't write {}", _0.display())]
    WriteFile(#[error(not(source))] PathBuf),
    /// An input is unreadable or invalid, or names something that doesn't exist or
    /// whose state doesn't allow the command.
    #[display("{_0}")]
    Input(#[error(not(source))] String),
    /// Keys or certificates can't be generated.
    #[display("can't make the keys")]
    Keys,
    /// A file, an entry or a name has faults.
    #[display("{_0}")]
    Faults(#[error(not(source))] Faults),
    /// The entry doesn't exist.
    #[display("there is no {_0}")]
    NotFound(#[error(not(source))] EntryName),
    /// The entry was changed since the base revision.
    #[display("{_0}")]
    Conflict(#[error(not(source))] Conflict),
    /// The host refused the request.
    #[display("refused ({}): {}", _0.reason, _0.detail)]
    Refused(#[error(not(source))] Box<Problem>),
    /// No host gave a usable response.
    #[display("no host answered:{}", format_attempts(_0))]
    Unreachable(#[error(not(source))] Vec<FailedAttempt>),
    /// The change may or may not have been accepted.
    #[display(
        "it is not known whether change {change} was accepted:{}\n\
         repeat the command with `--change {change}`: it is accepted once at most",
        format_attempts(attempts)
    )]
    Unknown {
        /// The change.
        change: ChangeId,
        /// The attempts, none of which settled the outcome.
        attempts: Vec<FailedAttempt>,
    },
    /// The change is accepted, but not yet in force everywhere.
    #[display("{_0}")]
    Lagging(#[error(not(source))] Box<Propagation>),
}

impl Error {
    /// Returns the exit status of a process that fails with this error.
    pub(crate) fn exit(&self) -> Exit {
        match self {
            Self::Usage(_) => Exit::Usage,
            Self::ReadFile(_)
            | Self::WriteFile(_)
            | Self::Input(_)
            | Self::Keys
            | Self::Faults(_)
            | Self::NotFound(_) => Exit::Input,
            Self::Conflict(_) => Exit::Conflict,
            Self::Refused(problem) if problem.reason == Reason::BadRequest => Exit::Input,
            Self::Refused(_) => Exit::Refused,
            Self::Unreachable(_) => Exit::Unreachable,
            Self::Unknown { .. } => Exit::Unknown,
            Self::Lagging(_) => Exit::Lagging,
        }
    }
}

/// A change whose base revision is no longer the entry's current one.
#[derive(Clone, Debug, Display)]
#[display(
    "{entry} was changed meanwhile, it is at revision {current_revision}; \
     what this change would do to it:\n{diff}"
)]
pub(crate) struct Conflict {
    /// The entry.
    pub(crate) entry: EntryName,
    /// The revision of its last change; zero if it doesn't exist.
    pub(crate) current_revision: Revision,
    /// The diff from the current entry to the one that this change would make.
    pub(crate) diff: String,
}

/// A failed attempt at one host: not sent, without a usable response, or refused in a
/// way that doesn't end the command.
#[derive(Clone, Debug, Display)]
#[display("{host}: {reason}")]
pub(crate) struct FailedAttempt {
    /// The host.
    pub(crate) host: SocketAddr,
    /// The reason, as shown to the operator.
    pub(crate) reason: String,
}

fn format_attempts(attempts: &[FailedAttempt]) -> String {
    let lines = attempts.iter().map(|attempt| format!("\n  {attempt}"));
    lines.collect::<Vec<_>>().concat()
}
