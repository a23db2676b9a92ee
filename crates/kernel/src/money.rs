//! Amounts of money.

use derive_more::{Add, AddAssign, Display, From, Into, Sum};
use serde::{Deserialize, Serialize};

/// An amount in millionths of a cent (microcents), fine enough for the price of a few tokens.
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

    /// Returns the price of `tokens` tokens, where `self` is the price of a million tokens.
    /// Rounded up, so that tokens are free only if the price is zero.
    #[must_use]
    pub fn per_million(self, tokens: u64) -> Self {
        Self(self.0.saturating_mul(tokens).div_ceil(1_000_000))
    }
}
