//! A line of the history.

use std::time::Duration;

use derive_more::Display;
use kernel::{ChangeId, Revision};
use serde::{Deserialize, Serialize};

use crate::{Change, Edit, Name, VersionState};

/// One accepted change, as the history keeps it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Commit {
    /// The revision that it made.
    pub revision: Revision,
    /// The change.
    pub change: ChangeId,
    /// The entry that it touched.
    pub entry: Name,
    /// What it did to the entry.
    pub action: Action,
    /// When it was accepted, since the Unix epoch.
    #[serde(rename = "when_ms", with = "crate::millis")]
    pub when: Duration,
    /// Who made it.
    pub author: String,
}

impl Commit {
    /// The history's line for a change that made `revision` at the wall time `when`.
    #[must_use]
    pub fn new(change: &Change, revision: Revision, when: Duration) -> Self {
        Self {
            revision,
            change: change.id.clone(),
            entry: change.edit.name(),
            action: Action::of(&change.edit),
            when,
            author: change.author.clone(),
        }
    }
}

/// What a change did to its entry.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Action {
    /// Created or replaced it.
    #[display("put")]
    Put,
    /// Removed it.
    #[display("removed")]
    Removed,
    /// Put a version as withdrawn.
    #[display("withdrawn")]
    Withdrawn,
}

impl Action {
    fn of(edit: &Edit) -> Self {
        match edit {
            Edit::PutVersion(_, version) if version.state == VersionState::Withdrawn => {
                Self::Withdrawn
            }
            Edit::PutVersion(..)
            | Edit::PutProfile(..)
            | Edit::PutCustomer(..)
            | Edit::PutService(..)
            | Edit::PutRollout(..) => Self::Put,
            Edit::RemoveVersion(_)
            | Edit::RemoveProfile(_)
            | Edit::RemoveCustomer(_)
            | Edit::RemoveService(_)
            | Edit::RemoveRollout(_) => Self::Removed,
        }
    }
}
