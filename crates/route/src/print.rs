//! What tells requests apart whatever their callers call them.

use derive_more::Display;
use kernel::{Customer, hash};
use serde::{Deserialize, Serialize};

/// What a request says, as a number: its path, whose it is, and its body.
///
/// Each try of a caller's has a name of its own, so the name can't tell that the same
/// request comes again, from the same caller or at another host. Every host reckons
/// the same number.
#[derive(
    Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[display("{_0:016x}")]
pub struct Print(u64);

impl Print {
    /// Of no request.
    pub(crate) const NONE: Self = Self(0);

    /// The print that is written so, in hexadecimal figures.
    #[must_use]
    pub fn read(text: &str) -> Option<Self> {
        u64::from_str_radix(text, 16).ok().map(Self)
    }

    /// The print of a request.
    #[must_use]
    pub fn of(path: &str, customer: Option<&Customer>, body: &[u8]) -> Self {
        Self(hash::of(&(path, customer, body)))
    }
}
