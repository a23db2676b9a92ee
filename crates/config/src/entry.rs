//! Entries of the document.

use derive_more::From;
use kernel::Revision;
use serde::de::Error as _;
use serde::{Deserialize, Serialize};

use crate::{Customer, Kind, Profile, Rollout, Service, Version};

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
    pub fn from_json(kind: Kind, body: &[u8]) -> Result<Self, serde_json::Error> {
        match kind {
            Kind::Version => read::<Version>(body),
            Kind::Profile => read::<Profile>(body),
            Kind::Customer => read::<Customer>(body),
            Kind::Service => read::<Service>(body),
            Kind::Rollout => read::<Rollout>(body),
        }
    }

    /// Returns the kind of the entry.
    #[must_use]
    pub fn kind(&self) -> Kind {
        match self {
            Self::Version(_) => Kind::Version,
            Self::Profile(_) => Kind::Profile,
            Self::Customer(_) => Kind::Customer,
            Self::Service(_) => Kind::Service,
            Self::Rollout(_) => Kind::Rollout,
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
