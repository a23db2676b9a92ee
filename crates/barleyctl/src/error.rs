//! Why a command did not do what it was asked.

use std::net::SocketAddr;
use std::path::PathBuf;

use config::{EntryName, Faults};
use derive_more::{Display, Error};
use gate::problem::{Problem, Reason};
use kernel::{ChangeId, Revision};

use crate::Exit;
use crate::wait::Reach;

/// Why a command did not do what it was asked.
#[derive(Debug, Display, Error)]
pub(crate) enum Error {
    /// The command line lacks something that only this command needs.
    #[display("{_0}")]
    Usage(#[error(not(source))] String),
    /// A file can't be read.
    #[display("can't read {}", _0.display())]
    Read(#[error(not(source))] PathBuf),
    /// A file can't be written.
    #[display("can't write {}", _0.display())]
    Write(#[error(not(source))] PathBuf),
    /// A file holds what it should not.
    #[display("{_0}")]
    Input(#[error(not(source))] String),
    /// Keys can't be made.
    #[display("can't make the keys")]
    Keys,
    /// A file or an entry has faults.
    #[display("{_0}")]
    Faults(#[error(not(source))] Faults),
    /// There is no entry of that name.
    #[display("there is no {_0}")]
    Absent(#[error(not(source))] EntryName),
    /// Somebody else changed the entry.
    #[display("{_0}")]
    Conflict(#[error(not(source))] Conflict),
    /// The host refused.
    #[display("refused ({}): {}", _0.reason, _0.detail)]
    Refused(#[error(not(source))] Box<Problem>),
    /// No host answered.
    #[display("no host answered:{}", list(_0))]
    Unreachable(#[error(not(source))] Vec<Attempt>),
    /// The change may or may not have been accepted.
    #[display(
        "it is not known whether change {change} was accepted:{}\n\
         repeat the command with `--change {change}`: it is accepted once at most",
        list(attempts)
    )]
    Unknown {
        /// The change.
        change: ChangeId,
        /// What became of each try.
        attempts: Vec<Attempt>,
    },
    /// The change is accepted, but not yet in force everywhere.
    #[display("{_0}")]
    Lagging(#[error(not(source))] Box<Reach>),
}

impl Error {
    /// How the process ends.
    pub(crate) fn exit(&self) -> Exit {
        match self {
            Self::Usage(_) => Exit::Usage,
            Self::Read(_)
            | Self::Write(_)
            | Self::Input(_)
            | Self::Keys
            | Self::Faults(_)
            | Self::Absent(_) => Exit::Input,
            Self::Conflict(_) => Exit::Conflict,
            Self::Refused(problem) if problem.reason == Reason::BadRequest => Exit::Input,
            Self::Refused(_) => Exit::Refused,
            Self::Unreachable(_) => Exit::Unreachable,
            Self::Unknown { .. } => Exit::Unknown,
            Self::Lagging(_) => Exit::Lagging,
        }
    }
}

/// A change that was made from a state of the entry that is no more.
#[derive(Clone, Debug, Display)]
#[display(
    "{entry} was changed meanwhile, it is at revision {current_revision}; \
     what this change would do to it:\n{diff}"
)]
pub(crate) struct Conflict {
    /// The entry.
    pub(crate) entry: EntryName,
    /// The revision of its last change; zero when it is gone.
    pub(crate) current_revision: Revision,
    /// What differs between the entry as it stands and as this change wants it.
    pub(crate) diff: String,
}

/// One try at one host that gave no answer to go by.
#[derive(Clone, Debug, Display)]
#[display("{host}: {outcome}")]
pub(crate) struct Attempt {
    /// The host.
    pub(crate) host: SocketAddr,
    /// What became of it.
    pub(crate) outcome: String,
}

fn list(attempts: &[Attempt]) -> String {
    let lines = attempts.iter().map(|attempt| format!("\n  {attempt}"));
    lines.collect::<Vec<_>>().concat()
}
