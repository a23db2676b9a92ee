//! The port through which the relay says what it did.

use std::time::Duration;

use kernel::{EndpointId, RequestId};
use route::{Denial, Ending, Failure, Placement};

/// Hears what the relay did, for logs and metrics. It must not block.
pub trait Observer: 'static {
    /// A request ended.
    fn done(&self, report: &Report<'_>);

    /// An attempt ended.
    fn attempted(&self, id: &RequestId, placement: &Placement, ending: Ending, took: Duration);

    /// A connection to an endpoint was opened, or couldn't be.
    fn connected(&self, endpoint: &EndpointId, took: Duration, result: std::io::Result<()>);
}

/// How a request ended.
#[derive(Clone, Debug)]
pub struct Report<'a> {
    /// The request.
    pub id: &'a RequestId,
    /// Its route, if one was found.
    pub route: Option<&'a str>,
    /// How it ended.
    pub outcome: Outcome,
    /// The status that the caller got.
    pub status: u16,
    /// From the head's arrival to the first byte of the answer.
    pub first: Option<Duration>,
    /// From the head's arrival to the end.
    pub total: Duration,
    /// How many endpoints it was sent to.
    pub attempts: u32,
}

/// How a request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// An endpoint's answer was passed on, whole.
    Answered,
    /// It was turned away before any endpoint was considered.
    Denied(Denial),
    /// It broke a limit or the protocol.
    Rejected,
    /// It ended without an endpoint's answer, or in the middle of one.
    Failed(Failure),
    /// The caller left.
    Gone,
}
