//! Plain services.

use std::time::Duration;

use kernel::ServiceName;

use crate::policy::{Priority, RetryPolicy};

/// A service other than a model engine. It has its own endpoints and queue, so
/// that overloaded engines do not delay it.
#[derive(Clone, Debug)]
pub struct Service {
    /// The name, which identifies it across revisions.
    pub name: ServiceName,
    /// Whether calls may run more than once, unless the route overrides it.
    pub retry_policy: RetryPolicy,
    /// The priority of calls that do not specify one.
    pub priority: Priority,
    /// The time limit if the caller sets no deadline.
    pub deadline: Duration,
    /// The number of calls in flight from this host, at its subset of the live endpoints,
    /// from which on further calls are queued. Hedges may exceed it.
    pub concurrency: u32,
}
