//! Moments of the store, in the order in which they were.

use serde::{Deserialize, Serialize};

/// A moment of the store: its era, and its version in that era.
///
/// A store that comes back from an older copy counts on from the copy's version, and gives
/// out again the versions that it had given since. Compared by version alone, what was
/// written after its return would pass for older than what was lost with it. The era comes
/// first in the order, so no comparison can leave it out.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Revision {
    /// How often the store has come back from a copy.
    pub era: u64,
    /// Its count of changes.
    pub version: u64,
}
