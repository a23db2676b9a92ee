//! Exit codes of the process.

use std::process::ExitCode;

use derive_more::Display;

/// The result of a command; its exit code is part of the tool's interface.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum Exit {
    /// The command succeeded; a change is in force on every live host.
    #[display("done")]
    Success,
    /// A file, an entry or a name is invalid; nothing was changed.
    #[display("fault in the input")]
    Input,
    /// The command line is invalid; nothing was changed.
    #[display("fault in the command line")]
    Usage,
    /// Another change to the entry was committed first; nothing was changed.
    #[display("conflict")]
    Conflict,
    /// The host refused the request, for now or permanently; nothing was changed.
    #[display("refused")]
    Refused,
    /// No host gave a usable response; nothing was changed.
    #[display("unreachable")]
    Unreachable,
    /// The change may or may not have been accepted.
    #[display("outcome unknown")]
    Unknown,
    /// The change is accepted, but not yet in force on every live host.
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
