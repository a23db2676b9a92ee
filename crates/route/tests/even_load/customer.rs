//! The customers of docs/design/hard-load.md.

use std::time::Duration;

use crate::demand::Demand;
use crate::kind::Kind;

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

    /// Returns what its callers ask for.
    pub(crate) fn demands(self) -> [Demand; 3] {
        Kind::ALL.map(|kind| {
            let (rate, events, target, timeout) = match (self, kind) {
                (Self::Voicemail, Kind::Long) => (98.0, 42, 6_000, 20_000),
                (Self::Voicemail, Kind::Short) => (122.0, 32, 1_500, 15_000),
                (Self::Voicemail, Kind::Tag) => (168.0, 3, 2_000, 5_000),
                (Self::Courier, Kind::Long) => (109.0, 38, 2_000, 15_000),
                (Self::Courier, Kind::Short) => (105.0, 29, 1_000, 15_000),
                (Self::Courier, Kind::Tag) => (219.0, 2, 1_000, 4_000),
            };
            Demand {
                kind,
                rate,
                events,
                target: Duration::from_millis(target),
                timeout: Duration::from_millis(timeout),
            }
        })
    }
}
