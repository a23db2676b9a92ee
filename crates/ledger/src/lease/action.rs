//! What a lease wants done.

use std::time::Duration;

use crate::{lease::Row, table::Expect};

/// One thing that the driver performs for a lease.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// The row is needed; answered by [`super::Event::Read`].
    Read,
    /// The row is to be written on this condition; answered by [`super::Event::Written`].
    Write {
        /// What must hold for the row as it is.
        expect: Expect,
        /// The row's new value.
        row: Row,
    },
    /// The lease was taken over: the state that earlier orders left is to be
    /// read from the endpoints before the first order, then [`super::Event::ReadBack`] reported.
    ReadBack,
    /// The lease is no longer held.
    Lost,
    /// [`super::Event::Tick`] is wanted at this time.
    Wake {
        /// Monotonic time of this process.
        at: Duration,
    },
}
