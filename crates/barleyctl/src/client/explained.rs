//! What a relaying host responds to a dry run of placement.

use kernel::HostName;
use route::{Explanation, Prospect};
use serde::{Deserialize, Serialize};

use crate::error::FailedAttempt;

/// What a relaying host responds to a dry run of placement.
pub(crate) enum Explained {
    /// The host's answer.
    Answer(Box<Answer>),
    /// The host gave no usable response.
    Failed(Vec<FailedAttempt>),
}

/// A host's answer.
#[derive(Debug, Deserialize, Serialize)]
pub(crate) struct Answer {
    /// The host.
    pub(crate) host: HostName,
    /// Whether the host is shutting down.
    pub(crate) is_stopping: bool,
    /// The explanation.
    pub(crate) explanation: Explanation,
}

impl Explained {
    pub(crate) fn answer(&self) -> Option<&Answer> {
        match self {
            Self::Answer(answer) => Some(answer),
            Self::Failed(_) => None,
        }
    }

    pub(crate) fn failed(&self) -> Option<&[FailedAttempt]> {
        match self {
            Self::Answer(_) => None,
            Self::Failed(failed) => Some(failed),
        }
    }
}

impl Answer {
    /// Returns where the request would go, unless it would be denied.
    pub(crate) fn prospect(&self) -> Option<&Prospect> {
        match &self.explanation {
            Explanation::Admitted(prospect) => Some(prospect),
            Explanation::Denied(_) => None,
        }
    }
}
