//! The table row of a lease.

use kernel::Incarnation;
use serde::{Deserialize, Serialize};

use crate::lease::Fencing;

/// The value of the row `lease/{name}`.
///
/// It contains no time: each candidate measures on its own clock for how long the row hasn't
/// changed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Row {
    /// The holder, or `None` after a release.
    pub holder: Option<Incarnation>,
    /// The fencing number, which rises each time the lease is taken.
    pub fencing: Fencing,
    /// Differs for each write of one holder, so that the holder recognises its own write after a
    /// lost response.
    pub renewal: u64,
}
