//! Events that the driver reports to a lease.

use crate::{lease::Row, table};

/// An event that the driver reports to a lease.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// The time requested by [`super::Action::Wake`] has come.
    Tick,
    /// A read has ended, with the row and its version, or `None` if there is no row.
    Read(Result<Option<(u64, Row)>, table::Unavailable>),
    /// A write has ended.
    Written(Written),
    /// The state of the endpoints was read back after [`super::Action::ReadBack`].
    ReadBack,
    /// The job is done or the process shuts down: release the lease.
    Resign,
}

/// The result of a lease's write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Written {
    /// It was applied.
    Applied {
        /// The row's new version.
        version: u64,
    },
    /// It was not applied, because another write came first.
    Failed,
    /// It was not applied: it wasn't sent, or the table rejected it.
    NotApplied,
    /// It may be applied, already or later.
    Unknown,
}
