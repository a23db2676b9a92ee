//! Requests that are checked.

use std::time::Duration;

use kernel::{Customer, ServiceName};

use crate::Fingerprint;

/// The properties of a request that its admission depends on.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Arrival<'a> {
    pub(crate) service: &'a ServiceName,
    /// `None` on a public route. The requests of all public routes count as one customer's.
    pub(crate) customer: Option<&'a Customer>,
    pub(crate) fingerprint: Fingerprint,
    /// 0 is the most urgent.
    pub(crate) priority: u8,
    pub(crate) time_left: Duration,
    pub(crate) order: QueueOrder,
}

/// The order in which endpoints start the requests that wait.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum QueueOrder {
    /// They know the priorities, and start the most urgent first.
    Priority,
    Unknown,
}

/// Whether a request was sent again too soon.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ArrivalKind {
    New,
    /// The request was refused, and its `Retry-After` hasn't passed.
    EarlyRetry,
}
