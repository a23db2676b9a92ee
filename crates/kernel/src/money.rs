//! Amounts of money.

use derive_more::{Add, AddAssign, Display, From, Into, Sum};
use serde::{Deserialize, Serialize};

/// An amount in millionths of a cent, so that the price of one token is an integer.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    Display,
    Add,
    AddAssign,
    Sum,
    From,
    Into,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Serialize,
    Deserialize,
)]
#[serde(transparent)]
pub struct Money(pub u64);

impl Money {
    /// No money.
    pub const ZERO: Self = Self(0);

    /// Returns the price of `tokens` at `self` per million tokens, rounded up so that no token
    /// is free.
    #[must_use]
    pub fn per_million(self, tokens: u64) -> Self {
        Self(self.0.saturating_mul(tokens).div_ceil(1_000_000))
    }
}
