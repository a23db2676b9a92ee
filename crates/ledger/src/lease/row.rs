//! The table row of a lease.

use kernel::Incarnation;
use serde::{Deserialize, Serialize};

use crate::lease::Fencing;

/// The value of the row `lease/{name}`.
///
/// It names no time: each candidate measures on its own clock how long the
/// row's version hasn't changed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Row {
    /// Who holds it, or none when it was given back.
    pub holder: Option<Incarnation>,
    /// Rises with each new holder.
    pub fencing: Fencing,
    /// Differs with each write of one holder, so that a holder recognises its
    /// own write after a lost answer, and knows when it sent it.
    pub renewal: u64,
}
