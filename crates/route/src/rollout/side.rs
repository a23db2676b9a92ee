//! Which release a request runs on.

use derive_more::Display;

/// Which release a request runs on.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash)]
pub enum Side {
    /// The one that was there before.
    #[display("old")]
    Old,
    /// The one that is rolled out.
    #[display("new")]
    New,
}

impl Side {
    /// The other one.
    #[must_use]
    pub fn other(self) -> Self {
        match self {
            Self::Old => Self::New,
            Self::New => Self::Old,
        }
    }
}
