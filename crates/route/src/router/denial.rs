//! Why a request goes nowhere.

use std::time::Duration;

use crate::Print;

/// Why a request goes nowhere, before any endpoint is considered.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, derive_more::Display)]
pub enum Denial {
    /// This host has no configuration yet, and can't know what is allowed.
    #[display("no_configuration")]
    NotReady,
    /// This host is about to end, and the request might not end before it.
    #[display("stopping")]
    Stopping,
    /// No route fits.
    #[display("no_route")]
    NoRoute,
    /// The key is missing or belongs to nobody.
    #[display("unknown_key")]
    UnknownKey,
    /// Endpoints end under it.
    #[display("quarantined")]
    Quarantined {
        /// What it says, whatever its caller calls it.
        print: Print,
        /// When it is no longer held.
        retry_after: Duration,
    },
}

impl Denial {
    /// Every reason.
    pub const ALL: [Self; 5] = [
        Self::NotReady,
        Self::Stopping,
        Self::NoRoute,
        Self::UnknownKey,
        Self::Quarantined {
            print: Print::NONE,
            retry_after: Duration::ZERO,
        },
    ];
}
