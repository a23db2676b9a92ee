//! Changes to the configuration by operators.

use kernel::{ChangeId, ProfileName, Revision, ServiceName, VersionId};
use serde::{Deserialize, Serialize};

use crate::{Customer, Entry, EntryName, Profile, Rollout, Service, Version};

/// A change to one entry of the document.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Change {
    /// The idempotency key of the change: a retry after a lost response has the same id.
    pub id: ChangeId,
    /// The revision of the entry that the author edited; zero if the change
    /// creates the entry.
    pub base: Revision,
    /// The operator who made the change.
    pub author: String,
    /// Whether a withdrawal is rejected if it leaves a profile or customer without an
    /// active version.
    #[serde(default)]
    pub mode: ChangeMode,
    /// The edit of the entry.
    pub edit: Edit,
}

/// Whether a withdrawal is rejected if it leaves a profile or customer without an
/// active version.
///
/// All other checks apply in both modes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ChangeMode {
    /// Rejects the withdrawal of a version if it leaves a profile or one of its
    /// customers without an active version.
    #[default]
    Guarded,
    /// Accepts such a withdrawal: requests are refused rather than sent to that version.
    Forced,
}

/// The edit that a change makes to its entry.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Edit {
    /// Creates or replaces a version.
    PutVersion(VersionId, Version),
    /// Removes a version.
    RemoveVersion(VersionId),
    /// Creates or replaces a profile.
    PutProfile(ProfileName, Profile),
    /// Removes a profile.
    RemoveProfile(ProfileName),
    /// Creates or replaces a customer.
    PutCustomer(kernel::Customer, Customer),
    /// Removes a customer.
    RemoveCustomer(kernel::Customer),
    /// Creates or replaces a plain service.
    PutService(ServiceName, Service),
    /// Removes a plain service.
    RemoveService(ServiceName),
    /// Creates or replaces the roll-out of a version.
    PutRollout(VersionId, Rollout),
    /// Removes a roll-out.
    RemoveRollout(VersionId),
}

impl Edit {
    /// The edit that stores `entry` under `name`; `None` if they are of different kinds.
    #[must_use]
    pub fn put(name: EntryName, entry: Entry) -> Option<Self> {
        match (name, entry) {
            (EntryName::Version(id), Entry::Version(it)) => Some(Self::PutVersion(id, it)),
            (EntryName::Profile(name), Entry::Profile(it)) => Some(Self::PutProfile(name, it)),
            (EntryName::Customer(name), Entry::Customer(it)) => Some(Self::PutCustomer(name, it)),
            (EntryName::Service(name), Entry::Service(it)) => Some(Self::PutService(name, it)),
            (EntryName::Rollout(id), Entry::Rollout(it)) => Some(Self::PutRollout(id, it)),
            _ => None,
        }
    }

    /// The edit that removes the entry `name`.
    #[must_use]
    pub fn remove(name: EntryName) -> Self {
        match name {
            EntryName::Version(id) => Self::RemoveVersion(id),
            EntryName::Profile(name) => Self::RemoveProfile(name),
            EntryName::Customer(name) => Self::RemoveCustomer(name),
            EntryName::Service(name) => Self::RemoveService(name),
            EntryName::Rollout(id) => Self::RemoveRollout(id),
        }
    }

    /// The name of the edited entry.
    #[must_use]
    pub fn name(&self) -> EntryName {
        match self {
            Self::PutVersion(id, _) | Self::RemoveVersion(id) => EntryName::Version(id.clone()),
            Self::PutProfile(name, _) | Self::RemoveProfile(name) => {
                EntryName::Profile(name.clone())
            }
            Self::PutCustomer(name, _) | Self::RemoveCustomer(name) => {
                EntryName::Customer(name.clone())
            }
            Self::PutService(name, _) | Self::RemoveService(name) => {
                EntryName::Service(name.clone())
            }
            Self::PutRollout(id, _) | Self::RemoveRollout(id) => EntryName::Rollout(id.clone()),
        }
    }
}
