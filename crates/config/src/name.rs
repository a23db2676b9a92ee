//! Names and kinds of entries.

use derive_more::Display;
use kernel::{Customer, ProfileName, ServiceName, VersionId};
use serde::{Deserialize, Serialize};

use crate::schema::Accepts;
use crate::{Fault, FaultKind, FaultLocation, validate};

/// The kind and name of an entry of the document.
#[derive(Clone, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "kind", content = "name")]
pub enum EntryName {
    /// A version.
    #[display("version {_0}")]
    Version(VersionId),
    /// A profile.
    #[display("profile {_0}")]
    Profile(ProfileName),
    /// A customer.
    #[display("customer {_0}")]
    Customer(Customer),
    /// A plain service.
    #[display("service {_0}")]
    Service(ServiceName),
    /// The roll-out of a version.
    #[display("rollout {_0}")]
    Rollout(VersionId),
}

impl EntryName {
    /// Creates the name of an entry of that kind. The name isn't validated.
    #[must_use]
    pub fn new(kind: EntryKind, name: &str) -> Self {
        match kind {
            EntryKind::Version => Self::Version(name.into()),
            EntryKind::Profile => Self::Profile(name.into()),
            EntryKind::Customer => Self::Customer(name.into()),
            EntryKind::Service => Self::Service(name.into()),
            EntryKind::Rollout => Self::Rollout(name.into()),
        }
    }

    /// Checks that the name is valid. Valid names need no escaping in a path.
    ///
    /// # Errors
    /// The fault, with a description of valid names.
    pub fn check(&self) -> Result<(), Fault> {
        let (fits, accepted) = match self {
            Self::Version(id) | Self::Rollout(id) => {
                (validate::is_version(id.as_str()), Accepts::Version)
            }
            Self::Profile(_) | Self::Customer(_) | Self::Service(_) => {
                (validate::is_name(self.as_str()), Accepts::Name)
            }
        };
        if fits {
            return Ok(());
        }
        Err(Fault {
            place: FaultLocation::Entry(self.clone()),
            field: "name".to_owned(),
            found: FaultKind::Value(format!("{:?}", self.as_str())),
            accepted: accepted.to_string(),
        })
    }

    /// Returns the kind of the entry.
    #[must_use]
    pub fn kind(&self) -> EntryKind {
        match self {
            Self::Version(_) => EntryKind::Version,
            Self::Profile(_) => EntryKind::Profile,
            Self::Customer(_) => EntryKind::Customer,
            Self::Service(_) => EntryKind::Service,
            Self::Rollout(_) => EntryKind::Rollout,
        }
    }

    /// Returns the name without its kind.
    #[must_use]
    pub fn as_str(&self) -> &str {
        match self {
            Self::Version(id) | Self::Rollout(id) => id.as_str(),
            Self::Profile(name) => name.as_str(),
            Self::Customer(name) => name.as_str(),
            Self::Service(name) => name.as_str(),
        }
    }
}

/// The kinds of entries, in the order of the document's fields.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum EntryKind {
    /// Versions.
    #[display("version")]
    Version,
    /// Profiles.
    #[display("profile")]
    Profile,
    /// Customers.
    #[display("customer")]
    Customer,
    /// Plain services.
    #[display("service")]
    Service,
    /// Roll-outs.
    #[display("rollout")]
    Rollout,
}

impl EntryKind {
    /// All kinds.
    pub const ALL: [Self; 5] = [
        Self::Version,
        Self::Profile,
        Self::Customer,
        Self::Service,
        Self::Rollout,
    ];

    /// Returns the plural in paths (`/operator/v1/profiles/…`) and in the document's fields.
    #[must_use]
    pub fn plural(self) -> &'static str {
        match self {
            Self::Version => "versions",
            Self::Profile => "profiles",
            Self::Customer => "customers",
            Self::Service => "services",
            Self::Rollout => "rollouts",
        }
    }

    /// Returns the kind with that plural, as in a path segment.
    #[must_use]
    pub fn from_plural(plural: &str) -> Option<Self> {
        Self::ALL.into_iter().find(|kind| kind.plural() == plural)
    }
}
