//! Endpoints and the attempts sent to them.

use std::net::SocketAddr;

use derive_more::Display;
use http::Request;
use kernel::{AttemptId, Incarnation, RequestId};

/// One incarnation of an engine or a plain service.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Endpoint {
    /// The address on which the endpoint listens.
    pub address: SocketAddr,
    /// The expected incarnation. Calls, orders and cancellations carry it, so that an
    /// endpoint that has replaced another one at the same address can refuse them, because
    /// it lacks its predecessor's state. Requests for a load report don't carry it; the
    /// report contains the endpoint's incarnation.
    pub incarnation: Incarnation,
}

/// An attempt to execute a request on an endpoint.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Attempt {
    /// The id of the request.
    pub request: RequestId,
    /// The incarnation of the entry host that sends the attempt. Each host numbers its own attempts.
    pub host: Incarnation,
    /// The attempt's number on that host.
    pub id: AttemptId,
    /// The scheduling priority.
    pub priority: Priority,
}

/// The priority with which an endpoint schedules an attempt.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash)]
pub enum Priority {
    /// Time-critical calls, for example seat holds and gate scans.
    #[display("urgent")]
    Urgent,
    /// A person is waiting for the response.
    #[display("interactive")]
    Interactive,
    /// Background work; nobody is waiting for the response.
    #[display("batch")]
    Batch,
}

impl Attempt {
    /// Returns the attempt's id on the wire, which is unique across hosts.
    #[must_use]
    pub fn wire_id(&self) -> String {
        format!("{}-{}", self.host, self.id)
    }

    /// Adds the attempt's headers and the endpoint's expected incarnation to `request`.
    pub(crate) fn add_headers(&self, to: &Endpoint, request: Request) -> Request {
        request
            .header("x-request-id", self.request.as_str())
            .header("x-attempt-id", self.wire_id())
            .header("x-priority", self.priority.to_string())
            .header("x-incarnation", to.incarnation.to_string())
    }
}
