//! The customers of docs/design/hard-load.md.

/// A customer with its own traffic and endpoints.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Customer {
    /// Voicemail transcription.
    Voicemail,
    /// Courier dispatch.
    Courier,
}

impl Customer {
    /// Returns the number of requests that an endpoint runs concurrently.
    pub(crate) fn slots(self) -> u32 {
        match self {
            Self::Voicemail => 48,
            Self::Courier => 16,
        }
    }

    /// Returns the number of connections that an endpoint accepts.
    pub(crate) fn connections(self) -> u32 {
        match self {
            Self::Voicemail => 710,
            Self::Courier => 520,
        }
    }
}
