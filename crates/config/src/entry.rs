//! Entries of the document.

use derive_more::From;
use kernel::Revision;
use serde::de::Error as _;
use serde::{Deserialize, Serialize};

use crate::{Customer, EntryKind, Profile, Rollout, Service, Version};

/// An entry of any kind. It is serialized without its kind, which the path of
/// the request gives.
#[derive(Clone, Debug, From, PartialEq, Serialize)]
#[serde(untagged)]
pub enum Entry {
    /// A version.
    Version(Version),
    /// A profile.
    Profile(Profile),
    /// A customer.
    Customer(Customer),
    /// A plain service.
    Service(Service),
    /// The roll-out of a version.
    Rollout(Rollout),
}

impl Entry {
    /// Parses the body of a `PUT /operator/v1/{kind}/{name}`.
    ///
    /// # Errors
    /// The first syntax error, or the first field that is unknown, missing or of
    /// the wrong type.
    pub fn from_json(kind: EntryKind, body: &[u8]) -> Result<Self, serde_json::Error> {
        match kind {
            EntryKind::Version => read::<Version>(body),
            EntryKind::Profile => read::<Profile>(body),
            EntryKind::Customer => read::<Customer>(body),
            EntryKind::Service => read::<Service>(body),
            EntryKind::Rollout => read::<Rollout>(body),
        }
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

    /// Returns the revision that last changed the entry.
    #[must_use]
    pub fn changed(&self) -> Revision {
        match self {
            Self::Version(it) => it.changed,
            Self::Profile(it) => it.changed,
            Self::Customer(it) => it.changed,
            Self::Service(it) => it.changed,
            Self::Rollout(it) => it.changed,
        }
    }
}

fn read<'de, T: Deserialize<'de> + Into<Entry>>(
    body: &'de [u8],
) -> Result<Entry, serde_json::Error> {
    let text = std::str::from_utf8(body).map_err(serde_json::Error::custom)?;
    serde_json::from_str::<T>(text).map(Into::into)
}
