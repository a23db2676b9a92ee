//! Exit codes of the process.

use std::process::ExitCode;

use derive_more::Display;

/// The result of a command; its exit code is part of the tool's interface.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum Exit {
    /// The command succeeded; a change is in force on every host that isn't suspect.
    #[display("done")]
    Success,
    /// An input is invalid or missing, an entry's state doesn't allow the command, or
    /// a file can't be read or written; no entry was changed.
    #[display("fault in the input")]
    Input,
    /// The command line is invalid; nothing was changed.
    #[display("fault in the command line")]
    Usage,
    /// The entry isn't at the change's base revision; this attempt changed nothing.
    #[display("conflict")]
    Conflict,
    /// A host refused the request; nothing was changed. A request other than a change
    /// that all hosts refuse for transient reasons is [`Self::Unreachable`].
    #[display("refused")]
    Refused,
    /// No host gave a usable response; no entry was changed, but a host may have been
    /// asked to drain.
    #[display("unreachable")]
    Unreachable,
    /// The change may or may not have been accepted.
    #[display("outcome unknown")]
    Unknown,
    /// The change is accepted, but isn't known to be in force on every host that isn't
    /// suspect.
    #[display("accepted, not yet in force everywhere")]
    Lagging,
}

impl Exit {
    /// All values, for the test that compares them with the reference.
    pub const ALL: [Self; 8] = [
        Self::Success,
        Self::Input,
        Self::Usage,
        Self::Conflict,
        Self::Refused,
        Self::Unreachable,
        Self::Unknown,
        Self::Lagging,
    ];

    /// Returns the exit code of the process.
    #[must_use]
    pub fn code(self) -> u8 {
        match self {
            Self::Success => 0,
            Self::Input => 1,
            Self::Usage => 2,
            Self::Conflict => 3,
            Self::Refused => 4,
            Self::Unreachable => 5,
            Self::Unknown => 6,
            Self::Lagging => 7,
        }
    }
}

impl From<Exit> for ExitCode {
    fn from(exit: Exit) -> Self {
        exit.code().into()
    }
}
