//! Reasons for denying a request.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::Fingerprint;

/// The reason that a request is denied before any endpoint is considered.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, derive_more::Display, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Denial {
    /// The host has not loaded a configuration yet.
    #[display("no_configuration")]
    NotReady,
    /// The host is shutting down, and the request might not complete in time.
    #[display("stopping")]
    Stopping,
    /// The host has no memory for the request's body. Only the caller's connection knows this, the
    /// router doesn't.
    #[display("no_memory")]
    NoMemory,
    /// No route matches.
    #[display("no_route")]
    NoRoute,
    /// The API key is missing or unknown.
    #[display("unknown_key")]
    UnknownKey,
    /// The route chooses the model, and the request doesn't leave the choice to it.
    #[display("named_model")]
    NamedModel,
    /// Another host forwards the request to this one, and neither reaches endpoints.
    #[display("unreachable")]
    Unreachable,
    /// The request is quarantined, since endpoints' processes exit while they run it.
    #[display("quarantined")]
    Quarantined {
        /// The request's fingerprint.
        fingerprint: Fingerprint,
        /// The remaining time of the quarantine.
        #[serde(rename = "retry_after_ms", with = "crate::millis")]
        retry_after: Duration,
    },
}

impl Denial {
    /// All variants.
    pub const ALL: [Self; 8] = [
        Self::NotReady,
        Self::Stopping,
        Self::NoMemory,
        Self::NoRoute,
        Self::UnknownKey,
        Self::NamedModel,
        Self::Unreachable,
        Self::Quarantined {
            fingerprint: Fingerprint::NONE,
            retry_after: Duration::ZERO,
        },
    ];
}
