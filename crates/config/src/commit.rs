//! The history of accepted changes.

use std::time::Duration;

use derive_more::Display;
use kernel::{ChangeId, Revision};
use serde::{Deserialize, Serialize};

use crate::{Change, Edit, EntryName, VersionState};

/// The history record of an accepted change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Commit {
    /// The revision that the change created.
    pub revision: Revision,
    /// The id of the change.
    pub change: ChangeId,
    /// The name of the changed entry.
    pub entry: EntryName,
    /// The effect on the entry.
    pub action: Action,
    /// The wall-clock time of acceptance, since the Unix epoch.
    #[serde(rename = "when_ms", with = "crate::millis")]
    pub when: Duration,
    /// The operator who made the change.
    pub author: String,
}

impl Commit {
    /// Creates the history record of a change that created `revision` at the wall-clock
    /// time `when`.
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

/// The effect of a change on its entry.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Action {
    /// The entry was created or replaced.
    #[display("put")]
    Put,
    /// The entry was removed.
    #[display("removed")]
    Removed,
    /// A version was created or replaced with the state `withdrawn`.
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
