//! Finished attempts.

use std::time::Duration;

use crate::endpoint::Process;
use crate::{Ending, Print};

/// A finished attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct FinishedAttempt {
    /// When it ended.
    pub(crate) at: Duration,
    /// The endpoint's process.
    pub(crate) process: Process,
    /// The request.
    pub(crate) print: Print,
    /// What its ending implies for the process.
    pub(crate) outcome: Outcome,
}

/// What the ending of an attempt implies for the endpoint's process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Outcome {
    /// The process ran the request to its end.
    Answered,
    /// The process may have exited.
    Broken,
    /// Nothing: the request may still have been running.
    Unknown,
}

impl Outcome {
    /// Returns the outcome of an ending, or `None` if the endpoint hasn't started to run the
    /// request.
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

impl FinishedAttempt {
    /// Returns whether this is an attempt of the given request whose connection broke.
    pub(super) fn broke_connection(&self, print: Print) -> bool {
        self.print == print && self.outcome == Outcome::Broken
    }
}
