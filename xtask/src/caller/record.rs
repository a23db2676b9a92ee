//! What a caller remembers of its calls.

use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

use gate::problem::{Reason, Run};

use crate::workload::Kind;

/// One call with all its tries.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Call {
    /// The caller's name for it, its idempotency key as well.
    pub name: String,
    /// What it is.
    pub kind: Kind,
    /// The customer on whose account it runs.
    pub customer: &'static str,
    /// The tries, in order; at least one.
    pub tries: Vec<Try>,
    /// The time from the first try to the last one's end.
    pub took: Duration,
}

/// One try at one host.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Try {
    /// The host's address.
    pub host: SocketAddr,
    /// How it ended.
    pub end: End,
}

/// How a try ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum End {
    /// With an answer that the host called whole.
    Answered(Answer),
    /// With a refusal.
    Refused(Refusal),
    /// With neither, and why.
    Failed(String),
}

/// An answer as it came.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Answer {
    /// The host's name for the request.
    pub request: String,
    /// The version that the host says it was.
    pub version: String,
    /// What the host says it cost.
    pub cost_microcents: Option<u64>,
    /// The session token to bring along.
    pub session: Option<String>,
    /// Whether the host says that the session was moved to another version.
    pub moved: bool,
    /// The answer's text; for a plain service the call that it says it was.
    pub text: String,
}

/// A refusal as it came.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// The host's name for the request; empty before it had one.
    pub request: String,
    /// Why.
    pub reason: Reason,
    /// What the host says about the execution.
    pub run: Run,
    /// When a repeat makes sense.
    pub retry_after: Option<Duration>,
}

impl Call {
    /// How the call ended for its caller.
    #[must_use]
    pub fn end(&self) -> &End {
        &self.tries.last().expect("a call has a try").end
    }
}

impl Try {
    /// A try for which no host could be found.
    #[must_use]
    pub(crate) fn nowhere() -> Self {
        Self {
            host: (Ipv4Addr::UNSPECIFIED, 0).into(),
            end: End::Failed("no host answers which one to use".to_owned()),
        }
    }
}
