//! Identifiers, each with its own type, so that one kind can't be passed for another.

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
            /// Returns the identifier as text.
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
    /// A customer: the service or team to which a request is billed.
    Customer;
    /// A data centre, as named in the settings.
    DataCentre;
    /// A region: a set of data centres.
    Region;
    /// An entry host or an endpoint host, as named in the settings or the host list.
    HostName;
    /// A profile: the model versions that may answer a request, and the required quality and
    /// maximum cost.
    ProfileName;
    /// A service: a pool of interchangeable endpoints.
    ServiceName;
    /// A model and its version, written `model@version`.
    VersionId;
    /// An endpoint, as its directory entry names it. An endpoint that restarts under the same
    /// id has another incarnation.
    EndpointId;
    /// The release of an endpoint's software and weights, as roll-outs refer to it.
    Release;
    /// The name of a model in the engines.
    ModelName;
    /// A session: requests that belong together and stay on one release.
    SessionId;
    /// An operator's change. The operator's tool chooses the id, so that a retry after a lost
    /// response is recognised.
    ChangeId;
    /// A request, as named by the caller or by the host that accepted it.
    RequestId;
}

number_id! {
    /// A run of a process. A restarted process has the same name and another incarnation.
    Incarnation;
    /// The number of a committed configuration; it only increases.
    Revision;
    /// An attempt to send a request to an endpoint.
    AttemptId;
}

/// The key by which retries of a request are recognised as the same request.
///
/// Billing and at-most-once execution apply per key; see `docs/design/ledger.md`.
#[derive(Clone, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[display("{customer}/{home}/{key}")]
pub struct RequestKey {
    /// The customer: different customers may use the same key.
    pub customer: Customer,
    /// The incarnation of the host that issued the caller's ticket (see the crate `gate`). Zero
    /// for an idempotency key without a ticket; the accepting host's incarnation for a request
    /// without an idempotency key.
    pub home: Incarnation,
    /// The caller's idempotency key, escaped and, for an idempotent request, with the request's
    /// fingerprint appended. The request id if the caller sent no key.
    pub key: Arc<str>,
}

impl VersionId {
    /// Returns the model's name, the part before the `@`.
    #[must_use]
    pub fn model(&self) -> &str {
        self.0
            .split_once('@')
            .map_or(self.as_str(), |(model, _)| model)
    }
}

impl Revision {
    /// Returns the next revision.
    #[must_use]
    pub fn next(self) -> Self {
        Self(self.0 + 1)
    }
}
