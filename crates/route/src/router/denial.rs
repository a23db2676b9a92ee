//! Why a request goes nowhere.

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
}

impl Denial {
    /// Every reason.
    pub const ALL: [Self; 4] = [
        Self::NotReady,
        Self::Stopping,
        Self::NoRoute,
        Self::UnknownKey,
    ];
}
