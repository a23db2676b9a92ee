//! Fingerprints of requests.

use derive_more::Display;
use kernel::{Customer, hash};
use serde::{Deserialize, Serialize};

/// A hash of a request's path, customer and body.
///
/// Identifies the same request when it comes again, also at another host: each retry of a
/// caller has a new request ID. All hosts compute the same value.
#[derive(
    Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[display("{_0:016x}")]
pub struct Fingerprint(u64);

impl Fingerprint {
    /// A placeholder that belongs to no request.
    pub(crate) const NONE: Self = Self(0);

    /// Parses the hexadecimal form.
    #[must_use]
    pub fn read(text: &str) -> Option<Self> {
        u64::from_str_radix(text, 16).ok().map(Self)
    }

    /// Returns the fingerprint of a request.
    #[must_use]
    pub fn of(path: &str, customer: Option<&Customer>, body: &[u8]) -> Self {
        Self(hash::of(&(path, customer, body)))
    }
}
