//! A plain service.

use std::time::Duration;

use kernel::ServiceName;

use crate::policy::{Priority, Repeat};

/// A plain service beside the model engines. Its endpoints and its queue are
/// its own, so that a full model pool never delays it.
#[derive(Clone, Debug)]
pub struct Service {
    /// Its name, by which it is recognised in the next revision.
    pub name: ServiceName,
    /// Whether its calls may run more than once, where the route says nothing else.
    pub repeat: Repeat,
    /// The priority of its calls, where the caller names none.
    pub priority: Priority,
    /// How long a call may take when the caller sets no deadline.
    pub deadline: Duration,
    /// Calls that this host may have in flight there at once.
    pub concurrency: u32,
}
