use std::time::Duration;

use crate::truth::{Answer, VersionIdx};

/// The record of a request.
#[derive(Clone, Debug, Default)]
pub(crate) struct Record {
    pub(crate) host: usize,
    pub(crate) fate: Fate,
    /// The time at which the caller saw the first token.
    pub(crate) first: Option<Duration>,
    pub(crate) end: Duration,
    /// In millionths of a cent.
    pub(crate) cost: u64,
    pub(crate) dispatches: u32,
    /// The distinct versions tried, in order.
    pub(crate) asked: Vec<VersionIdx>,
    /// Whether a response, delivered or not, was bad or failed because of a fault.
    pub(crate) touched: bool,
    /// Whether an attempt went to a withdrawn version after all hosts had been informed.
    pub(crate) withdrawn: bool,
    /// The number of attempts that started to run.
    pub(crate) runs: u32,
    pub(crate) turn: Turn,
}

/// The relation of a request to its session's version.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) enum Turn {
    /// The request had no session, or its session had no version yet.
    #[default]
    First,
    /// The session had a version when the request arrived.
    Pinned,
    /// Another version responded, although the session's version still accepted requests.
    Moved,
}

/// The outcome of a request.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) enum Fate {
    #[default]
    Pending,
    /// A response was delivered; `None` at a plain service.
    Delivered(Option<(VersionIdx, Answer)>),
    Refused(&'static str),
}

impl Record {
    /// Returns the model response that was delivered to the caller.
    pub(crate) fn answer(&self) -> Option<(VersionIdx, Answer)> {
        match self.fate {
            Fate::Delivered(answer) => answer,
            Fate::Pending | Fate::Refused(_) => None,
        }
    }

    pub(crate) fn delivered(&self) -> bool {
        matches!(self.fate, Fate::Delivered(_))
    }
}
