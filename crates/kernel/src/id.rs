//! Identifiers. Each is its own type, so that a customer can never be passed
//! where a profile is meant.

use std::sync::Arc;

use derive_more::{Display, From, Into};
use serde::{Deserialize, Serialize};

macro_rules! text_id {
    ($($(#[$meta:meta])* $name:ident;)*) => {$(
        $(#[$meta])*
        #[derive(
            Clone, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
        )]
        #[serde(transparent)]
        pub struct $name(Arc<str>);

        impl $name {
            /// The identifier as text.
            #[must_use]
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl From<&str> for $name {
            fn from(text: &str) -> Self {
                Self(text.into())
            }
        }

        impl From<String> for $name {
            fn from(text: String) -> Self {
                Self(text.into())
            }
        }

        impl AsRef<str> for $name {
            fn as_ref(&self) -> &str {
                &self.0
            }
        }

        impl std::borrow::Borrow<str> for $name {
            fn borrow(&self) -> &str {
                &self.0
            }
        }
    )*};
}

macro_rules! number_id {
    ($($(#[$meta:meta])* $name:ident;)*) => {$(
        $(#[$meta])*
        #[derive(
            Clone, Copy, Debug, Default, Display, From, Into, PartialEq, Eq, PartialOrd, Ord, Hash,
            Serialize, Deserialize,
        )]
        #[serde(transparent)]
        pub struct $name(pub u64);
    )*};
}

text_id! {
    /// A customer of the organisation: the service or team on whose account a
    /// request runs.
    Customer;
    /// A data centre, as named in the settings.
    DataCentre;
    /// A region: a set of data centres.
    Region;
    /// An entry host or an endpoint host, as named in the settings or the host list.
    HostName;
    /// A profile that operators edit and services name.
    ProfileName;
    /// A plain service beside the model engines.
    ServiceName;
    /// A model and its version, written `model@version`.
    VersionId;
    /// One life of an endpoint's process, as the directory names it: a restarted
    /// process, or another one at the same address, has another.
    EndpointId;
    /// The release of an endpoint's software and weights, as roll-outs name it.
    Release;
    /// A model, as engines name it.
    ModelName;
    /// Requests that belong together and stay on one release.
    SessionId;
    /// An operator's change, named by the operator's tool, so that a repeat
    /// after a lost answer is recognised.
    ChangeId;
    /// One request as the entry host that took it names it.
    RequestId;
}

number_id! {
    /// One life of a process: a restarted process has another, under the same name.
    Incarnation;
    /// The number of a committed configuration; it only rises.
    Revision;
    /// One dispatch of a request to an endpoint.
    AttemptId;
}

/// What makes two arrivals the same request: the incarnation that is its home
/// and the key that the caller gave, or the request id when it gave none.
///
/// Billing and at-most-once execution are decided per key; see
/// `docs/design/ledger.md`.
#[derive(Clone, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[display("{customer}/{home}/{key}")]
pub struct RequestKey {
    /// The customer, so that two customers may use the same key.
    pub customer: Customer,
    /// The incarnation whose ticket the caller presented, or zero without one.
    pub home: Incarnation,
    /// The caller's idempotency key, or the request id.
    pub key: Arc<str>,
}

impl VersionId {
    /// The model's name, before the `@`.
    #[must_use]
    pub fn model(&self) -> &str {
        self.0
            .split_once('@')
            .map_or(self.as_str(), |(model, _)| model)
    }
}

impl Revision {
    /// The number after this one.
    #[must_use]
    pub fn next(self) -> Self {
        Self(self.0 + 1)
    }
}
