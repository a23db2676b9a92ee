//! Attempts that are over.

use std::time::Duration;

use crate::endpoint::Process;
use crate::{Ending, Print};

/// An attempt that is over.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Finished {
    /// When it ended.
    pub(crate) at: Duration,
    /// Where it was.
    pub(crate) process: Process,
    /// The request.
    pub(crate) print: Print,
    /// What its end says of its endpoint.
    pub(crate) outcome: Outcome,
}

/// What an attempt's end says of its endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Outcome {
    /// It ran the request to its end.
    Answered,
    /// It may have ended.
    Broken,
    /// Nothing: it may still have been at work.
    Unknown,
}

impl Outcome {
    /// What an ending says; nothing if the endpoint hasn't begun to run the request.
    pub(crate) fn of(ending: Ending) -> Option<Self> {
        match ending {
            Ending::Answered => Some(Self::Answered),
            Ending::Broken => Some(Self::Broken),
            Ending::Failed | Ending::Silent | Ending::Unsure | Ending::Cancelled => {
                Some(Self::Unknown)
            }
            Ending::NotSent | Ending::Withheld | Ending::Refused | Ending::Moved => None,
        }
    }
}

impl Finished {
    /// Whether it is an attempt of this request that broke off.
    pub(super) fn is_broken(&self, print: Print) -> bool {
        self.print == print && self.outcome == Outcome::Broken
    }
}
