//! An operator's change.

use kernel::{ChangeId, ProfileName, Revision, ServiceName, VersionId};
use serde::{Deserialize, Serialize};

use crate::{Customer, Entry, Name, Profile, Rollout, Service, Version};

/// One change to one entry of the document.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Change {
    /// Names the change, so that its repeat after a lost answer is recognised.
    pub id: ChangeId,
    /// The revision of the entry that the change was made from; zero when the
    /// entry is to be new.
    pub base: Revision,
    /// Who made it.
    pub author: String,
    /// Whether the guards against accidents apply.
    #[serde(default)]
    pub mode: Mode,
    /// What it does.
    pub edit: Edit,
}

/// Whether the guards against accidents apply to a change.
///
/// It never switches off what the document needs to make sense.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Mode {
    /// A withdrawal that leaves a profile or one of its customers with no
    /// version is refused.
    #[default]
    Guarded,
    /// It is accepted: the operator prefers refusals to answers of that version.
    Forced,
}

/// What a change does.
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
    /// Creates, moves on, pauses or aborts the roll-out of a version.
    PutRollout(VersionId, Rollout),
    /// Forgets a roll-out.
    RemoveRollout(VersionId),
}

impl Edit {
    /// Puts `entry` under `name`; nothing comes back when they are of different kinds.
    #[must_use]
    pub fn put(name: Name, entry: Entry) -> Option<Self> {
        match (name, entry) {
            (Name::Version(id), Entry::Version(it)) => Some(Self::PutVersion(id, it)),
            (Name::Profile(name), Entry::Profile(it)) => Some(Self::PutProfile(name, it)),
            (Name::Customer(name), Entry::Customer(it)) => Some(Self::PutCustomer(name, it)),
            (Name::Service(name), Entry::Service(it)) => Some(Self::PutService(name, it)),
            (Name::Rollout(id), Entry::Rollout(it)) => Some(Self::PutRollout(id, it)),
            _ => None,
        }
    }

    /// Removes the entry `name`.
    #[must_use]
    pub fn remove(name: Name) -> Self {
        match name {
            Name::Version(id) => Self::RemoveVersion(id),
            Name::Profile(name) => Self::RemoveProfile(name),
            Name::Customer(name) => Self::RemoveCustomer(name),
            Name::Service(name) => Self::RemoveService(name),
            Name::Rollout(id) => Self::RemoveRollout(id),
        }
    }

    /// The entry that it touches.
    #[must_use]
    pub fn name(&self) -> Name {
        match self {
            Self::PutVersion(id, _) | Self::RemoveVersion(id) => Name::Version(id.clone()),
            Self::PutProfile(name, _) | Self::RemoveProfile(name) => Name::Profile(name.clone()),
            Self::PutCustomer(name, _) | Self::RemoveCustomer(name) => Name::Customer(name.clone()),
            Self::PutService(name, _) | Self::RemoveService(name) => Name::Service(name.clone()),
            Self::PutRollout(id, _) | Self::RemoveRollout(id) => Name::Rollout(id.clone()),
        }
    }
}
