//! Revisions of the store.

use serde::{Deserialize, Serialize};

/// A revision of the store: an era, and a version within that era.
///
/// A store that is restored from an older copy assigns versions again that it had assigned
/// before. Compared by version alone, new writes would appear older than the writes that
/// were lost. So the era is compared first.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Revision {
    /// The number of times that the store was restored from a copy.
    pub era: u64,
    /// The store's version, which each change increments.
    pub version: u64,
}
