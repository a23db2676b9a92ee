//! The recorded results of calls.

use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

use gate::problem::{Reason, Run};

use crate::workload::Kind;

/// One call with all its tries.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Call {
    /// The caller's name for the call, also its idempotency key.
    pub name: String,
    /// The kind of work.
    pub kind: Kind,
    /// The customer who is billed.
    pub customer: &'static str,
    /// The tries in order, at least one.
    pub tries: Vec<Try>,
    /// The time from the start of the call to its end, including delays and requests for the list
    /// of hosts.
    pub duration: Duration,
}

/// One try of a call at a host. The host may make several attempts at endpoints for it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Try {
    /// The host's address; unspecified if no host was known.
    pub host: SocketAddr,
    /// The result.
    pub outcome: Outcome,
}

/// The result of a try.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The host sent a success response.
    Completed(CallResponse),
    /// The host or the service sent an error.
    Refused(Refusal),
    /// No usable response came, for this reason.
    Failed(String),
}

/// A success response.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct CallResponse {
    /// The host's id of the request.
    pub request: String,
    /// The version that served the request, according to the host.
    pub version: String,
    /// The cost, according to the host.
    pub cost_microcents: Option<u64>,
    /// The session token to send with the next request of the session.
    pub session: Option<String>,
    /// Whether the host reports that the session was moved to another version.
    pub moved: bool,
    /// The text; from a plain service the name of the call that it served.
    pub text: String,
}

/// An error response.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// The host's id of the request; empty if the error has none.
    pub request: String,
    /// The reason.
    pub reason: Reason,
    /// Whether the request may have been executed: according to the host, or `Unknown` if the error
    /// isn't a host's.
    pub run: Run,
    /// The delay before a retry, if the refusal names one. Always `None` for an error in a stream.
    pub retry_after: Option<Duration>,
}

impl Call {
    /// Returns the result of the last try.
    #[must_use]
    pub fn outcome(&self) -> &Outcome {
        &self
            .tries
            .last()
            .expect("a call has at least one try")
            .outcome
    }
}

impl Try {
    /// Returns a failed try for which no host was known.
    #[must_use]
    pub(crate) fn without_host() -> Self {
        Self {
            host: (Ipv4Addr::UNSPECIFIED, 0).into(),
            outcome: Outcome::Failed("no host responded with a list of hosts".to_owned()),
        }
    }
}
