//! How the process ends.

use std::process::ExitCode;

use derive_more::Display;

/// How the process ends; the numbers are part of the tool's interface.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum Exit {
    /// It did what it was asked; a change is in force on every live host.
    #[display("done")]
    Done,
    /// A file, an entry or a name has a fault; nothing was changed.
    #[display("fault in the input")]
    Input,
    /// The command line has a fault; nothing was changed.
    #[display("fault in the command line")]
    Usage,
    /// Somebody else changed the entry meanwhile; nothing was changed.
    #[display("conflict")]
    Conflict,
    /// The host doesn't allow it or can't do it now; nothing was changed.
    #[display("refused")]
    Refused,
    /// No host answered; nothing was changed.
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
    /// Every way to end, for the reference and the test that compares it.
    pub const ALL: [Self; 8] = [
        Self::Done,
        Self::Input,
        Self::Usage,
        Self::Conflict,
        Self::Refused,
        Self::Unreachable,
        Self::Unknown,
        Self::Lagging,
    ];

    /// The process's exit code.
    #[must_use]
    pub fn code(self) -> u8 {
        match self {
            Self::Done => 0,
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
