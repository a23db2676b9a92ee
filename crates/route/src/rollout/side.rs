//! The two sides of a roll-out.

use derive_more::Display;
use serde::{Deserialize, Serialize};

/// One of the two releases of a roll-out.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Side {
    /// The release that was in use before.
    #[display("old")]
    Old,
    /// The release that is rolled out.
    #[display("new")]
    New,
}

impl Side {
    /// Returns the other side.
    #[must_use]
    pub fn other(self) -> Self {
        match self {
            Self::Old => Self::New,
            Self::New => Self::Old,
        }
    }
}
