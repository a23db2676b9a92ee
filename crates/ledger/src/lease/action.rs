//! Actions that a lease requests from its driver.

use std::time::Duration;

use crate::{lease::Row, table::Expect};

/// An action that the driver performs for a lease.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Read the row. The result is reported by [`super::Event::Read`].
    Read,
    /// Write the row on this condition. The result is reported by [`super::Event::Written`].
    Write {
        /// The condition on the current row.
        expect: Expect,
        /// The row's new value.
        row: Row,
    },
    /// Read back the state that earlier orders left at the endpoints, then report
    /// [`super::Event::ReadBack`]. Requested after a takeover, before the first order to an
    /// endpoint that ignores fencing numbers.
    ReadBack,
    /// Stop: the lease is no longer held.
    Lost,
    /// Send [`super::Event::Tick`] at this time.
    Wake {
        /// Monotonic time of this process.
        at: Duration,
    },
}
