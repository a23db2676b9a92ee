//! Small `Copy` keys, so that decisions don't compare strings.
//!
//! [`Version`], [`Profile`], [`Customer`] and [`Service`] index the lists of the
//! [`Policy`](crate::Policy) in the last
//! [`Event::Configure`](crate::Event::Configure). A new policy assigns new keys.

use derive_more::{Display, From, Into};
use serde::{Deserialize, Serialize};

macro_rules! index_key {
    ($($(#[$meta:meta])* $name:ident;)*) => {$(
        $(#[$meta])*
        #[derive(
            Clone, Copy, Debug, Default, Display, From, Into, PartialEq, Eq, PartialOrd, Ord, Hash,
        )]
        pub struct $name(pub u16);

        impl $name {
            /// Returns the index in the policy's list.
            #[must_use]
            pub fn index(self) -> usize {
                usize::from(self.0)
            }

            /// Returns the key of the entry at `index`. Lists are far shorter than `u16::MAX`.
            #[must_use]
            pub fn at(index: usize) -> Self {
                Self(u16::try_from(index).unwrap_or(u16::MAX))
            }
        }
    )*};
}

index_key! {
    /// The key of an entry of [`Policy::versions`](crate::Policy::versions).
    Version;
    /// The key of an entry of [`Policy::profiles`](crate::Policy::profiles).
    Profile;
    /// The key of an entry of [`Policy::customers`](crate::Policy::customers).
    Customer;
    /// The key of an entry of [`Policy::services`](crate::Policy::services).
    Service;
}

/// The driver's id for a request, unique for the lifetime of a decider.
#[derive(
    Clone, Copy, Debug, Default, Display, From, Into, PartialEq, Eq, PartialOrd, Ord, Hash,
)]
pub struct Request(pub u64);

/// A request class, identified by a hash of its name, so that it is the same on all hosts.
#[derive(
    Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Class(u64);

impl Class {
    /// Returns the class named `text`.
    #[must_use]
    pub fn named(text: &str) -> Self {
        Self(hash(text.as_bytes()))
    }
}

impl Default for Class {
    fn default() -> Self {
        Self::named("general")
    }
}

/// Returns the FNV-1a hash, which unlike the standard hasher is stable across builds and hosts.
pub(crate) fn hash(bytes: &[u8]) -> u64 {
    const OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
    const PRIME: u64 = 0x0100_0000_01b3;
    bytes.iter().fold(OFFSET, |hash, byte| {
        (hash ^ u64::from(*byte)).wrapping_mul(PRIME)
    })
}

/// Combines two hashes with the finalizer of `splitmix64`.
pub(crate) fn mix(a: u64, b: u64) -> u64 {
    let mut it = a ^ b.rotate_left(32).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    it = (it ^ (it >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    it = (it ^ (it >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    it ^ (it >> 31)
}
