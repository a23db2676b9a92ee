//! Finished attempts.

use std::time::Duration;

use crate::endpoint::ProcessId;
use crate::{Ending, Fingerprint};

/// A finished attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct FinishedAttempt {
    /// The time at which it ended.
    pub(crate) at: Duration,
    /// The endpoint's process.
    pub(crate) process: ProcessId,
    /// The request.
    pub(crate) fingerprint: Fingerprint,
    /// The conclusion on the process from its ending.
    pub(crate) outcome: Outcome,
}

/// The conclusion on an endpoint's process from the ending of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Outcome {
    /// The process ran the request to its end.
    Answered,
    /// The process may have exited.
    Broken,
    /// No conclusion: the request failed or may still have been running, or the process is alive
    /// although the connection broke.
    Unknown,
}

impl Outcome {
    /// Returns the outcome of an ending, or `None` if the endpoint hasn't started to run the
    /// request.
    pub(crate) fn of(ending: Ending) -> Option<Self> {
        match ending {
            Ending::Answered => Some(Self::Answered),
            Ending::Broken => Some(Self::Broken),
            Ending::Failed | Ending::TimedOut | Ending::LowConfidence | Ending::Cancelled => {
                Some(Self::Unknown)
            }
            Ending::NotSent | Ending::Withheld | Ending::Refused | Ending::Misdirected => None,
        }
    }
}

impl FinishedAttempt {
    /// Returns whether this is an attempt of the given request whose connection broke.
    pub(super) fn broke_connection(&self, fingerprint: Fingerprint) -> bool {
        self.fingerprint == fingerprint && self.outcome == Outcome::Broken
    }
}
