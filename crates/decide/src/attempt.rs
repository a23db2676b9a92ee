//! Attempts to send a request to an endpoint.

use std::time::Duration;

use kernel::AttemptId;

use crate::action::Relay;
use crate::directory::Target;
use crate::plan::Step;
use crate::{replica, request};

slotmap::new_key_type! {
    /// The key of an attempt in flight.
    pub(crate) struct Key;
}

/// An attempt between its dispatch and its end.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Attempt {
    /// The id that the driver uses for the attempt.
    pub(crate) id: AttemptId,
    pub(crate) request: request::Key,
    pub(crate) replica: replica::Key,
    pub(crate) target: Target,
    pub(crate) step: Step,
    pub(crate) relay: Relay,
    pub(crate) sent_at: Duration,
    pub(crate) timeout: Duration,
    pub(crate) progress: Progress,
    /// Whether the endpoint was known to have free capacity at dispatch.
    pub(crate) occupancy: Occupancy,
}

/// The progress of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Progress {
    Sent,
    /// The first byte of the response was received at this time.
    Started(Duration),
}

/// Whether an endpoint was known to have free capacity.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Occupancy {
    Free,
    MayBeFull,
}
