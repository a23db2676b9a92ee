//! What happens to a lease.

use crate::{lease::Row, table};

/// One thing that happened, as the driver reports it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// Time has passed.
    Tick,
    /// The read that was asked for has ended: the row with its version, or none.
    Read(Result<Option<(u64, Row)>, table::Unavailable>),
    /// The write that was asked for has ended; an applied one with the row's new version.
    Written(Written),
    /// The actual state was read back after [`super::Action::ReadBack`].
    ReadBack,
    /// The job is done or the process leaves: give the lease back.
    Resign,
}

/// What came of a lease's write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Written {
    /// It took effect.
    Applied {
        /// The row's new version.
        version: u64,
    },
    /// Another candidate or holder wrote first.
    Failed,
    /// It never reached the table.
    NotApplied,
    /// It may have taken effect, now or later.
    Unknown,
}
