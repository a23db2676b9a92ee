//! Who is asked, and on whose behalf.

use std::net::SocketAddr;

use derive_more::Display;
use http::Request;
use kernel::{AttemptId, Incarnation, RequestId};

/// An endpoint: an engine or a plain service in one of its lives.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Endpoint {
    /// Where it listens.
    pub address: SocketAddr,
    /// The life that is meant. A host that was replaced under the same
    /// address refuses the call, because it knows nothing of what led to it.
    pub incarnation: Incarnation,
}

/// One dispatch of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Attempt {
    /// The request.
    pub request: RequestId,
    /// The life of the entry host that dispatches it: attempts are numbered by each host.
    pub host: Incarnation,
    /// The dispatch's number on that host.
    pub id: AttemptId,
    /// How urgent it is.
    pub priority: Priority,
}

/// How urgent an attempt is to its endpoint.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash)]
pub enum Priority {
    /// Seat holds and gate scans, which can't wait.
    #[display("urgent")]
    Urgent,
    /// A person waits for the answer.
    #[display("interactive")]
    Interactive,
    /// Nobody waits.
    #[display("batch")]
    Batch,
}

impl Attempt {
    /// The attempt's name on the wire, unique over hosts.
    #[must_use]
    pub fn name(&self) -> String {
        format!("{}-{}", self.host, self.id)
    }

    /// `request` with the headers by which the endpoint knows the attempt.
    pub(crate) fn mark(&self, to: &Endpoint, request: Request) -> Request {
        request
            .header("x-request-id", self.request.as_str())
            .header("x-attempt-id", self.name())
            .header("x-priority", self.priority.to_string())
            .header("x-incarnation", to.incarnation.to_string())
    }
}
