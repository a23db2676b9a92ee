//! Finished attempts.

use std::time::Duration;

use crate::endpoint::ProcessId;
use crate::{Ending, RequestFingerprint};

/// A finished attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct FinishedAttempt {
    /// When it ended.
    pub(crate) at: Duration,
    /// The endpoint's process.
    pub(crate) process: ProcessId,
    /// The request.
    pub(crate) fingerprint: RequestFingerprint,
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
            Ending::Failed | Ending::TimedOut | Ending::LowConfidence | Ending::Cancelled => {
                Some(Self::Unknown)
            }
            Ending::NotSent | Ending::Withheld | Ending::Refused | Ending::Misdirected => None,
        }
    }
}

impl FinishedAttempt {
    /// Returns whether this is an attempt of the given request whose connection broke.
    pub(super) fn broke_connection(&self, fingerprint: RequestFingerprint) -> bool {
        self.fingerprint == fingerprint && self.outcome == Outcome::Broken
    }
}
