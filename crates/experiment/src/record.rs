use std::time::Duration;

use crate::ground_truth::{Response, VersionIdx};

/// The record of a request.
#[derive(Clone, Debug, Default)]
pub(crate) struct Record {
    pub(crate) host: usize,
    pub(crate) status: RequestStatus,
    /// The time at which the caller saw the first token.
    pub(crate) first_token: Option<Duration>,
    pub(crate) ended_at: Duration,
    /// In millionths of a cent.
    pub(crate) cost: u64,
    pub(crate) dispatches: u32,
    /// The distinct versions tried, in order.
    pub(crate) tried: Vec<VersionIdx>,
    /// Whether a response, delivered or not, was bad or failed because of a fault.
    pub(crate) affected: bool,
    /// Whether an attempt went to a withdrawn version after all hosts had been informed.
    pub(crate) withdrawn: bool,
    /// The number of attempts that started to run.
    pub(crate) runs: u32,
    pub(crate) pin_status: PinStatus,
}

/// The relation of a request to its session's version.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) enum PinStatus {
    /// The request had no session, or its session had no version yet.
    #[default]
    Unpinned,
    /// The session had a version when the request arrived.
    Pinned,
    /// Another version responded, although the session's version still accepted requests.
    Moved,
}

/// The outcome of a request.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) enum RequestStatus {
    #[default]
    Pending,
    /// A response was delivered; `None` at a plain service.
    Delivered(Option<(VersionIdx, Response)>),
    /// The request ended without a delivered response, for this reason.
    Failed(&'static str),
}

impl Record {
    /// Returns the model response that was delivered to the caller.
    pub(crate) fn response(&self) -> Option<(VersionIdx, Response)> {
        match self.status {
            RequestStatus::Delivered(response) => response,
            RequestStatus::Pending | RequestStatus::Failed(_) => None,
        }
    }

    pub(crate) fn delivered(&self) -> bool {
        matches!(self.status, RequestStatus::Delivered(_))
    }
}
