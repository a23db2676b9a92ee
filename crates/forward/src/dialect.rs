//! The interface for the header fields of a deployment.

use std::time::Duration;

use framing::{request, response};
use kernel::{Customer, RequestId};
use route::endpoint::Load;
use route::{LoadError, ModelChoice, Placement, Relayed, RequestProfile, RequestRate};

/// Encodes and decodes the header fields of callers' requests and endpoints' responses.
///
/// Implementations only translate; they make no decisions.
pub trait Dialect: 'static {
    /// Parses the fields of a caller's request.
    fn parse_request(&self, head: &request::Head) -> RequestFields;

    /// Returns the head of a request to an endpoint, including the final blank line.
    fn encode_head(&self, head: &request::Head, to: &ForwardedFields<'_>) -> Vec<u8>;

    /// Returns the head of a request that is forwarded through another host, including the final
    /// blank line.
    fn encode_relayed_head(&self, head: &request::Head, to: &RelayedFields) -> Vec<u8>;

    /// Parses the fields of an endpoint's response.
    fn parse_response(&self, head: &response::Head) -> ResponseFields;

    /// Returns whether this field of an endpoint's response is forwarded to the caller.
    fn forwards_field(&self, head: &response::Head, field: &str) -> bool;

    /// Returns the name of the field that carries the request id.
    fn request_id_field(&self) -> &'static str;
}

/// The fields of a caller's request that `forward` and `route` use.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RequestFields {
    /// The request id that the caller chose.
    pub id: Option<RequestId>,
    /// The customer's API key.
    pub key: Option<String>,
    /// The caller's timeout for the response.
    pub timeout: Option<Duration>,
    /// The id of the event after which to resume a stream.
    pub last_event: Option<u64>,
    /// The properties that placement depends on.
    pub profile: RequestProfile,
    /// Who chooses the model, if the route has several.
    pub model_choice: ModelChoice,
    /// Set if another host forwards the request.
    pub relayed: Option<Relayed>,
}

/// The values that are added to the caller's head when a request is sent to an endpoint.
#[derive(Clone, Debug)]
pub struct ForwardedFields<'a> {
    /// The endpoint that it is sent to.
    pub placement: &'a Placement,
    /// The customer, if the route requires a key.
    pub customer: Option<&'a Customer>,
    /// The time left until the request's deadline.
    pub time_left: Duration,
    /// The id of the event after which to resume a stream.
    pub last_event: Option<u64>,
    /// The length of the body in bytes.
    pub body_len: usize,
    /// The priority; 0 is the most urgent.
    pub priority: u8,
}

/// The values that are set in the caller's head when a request is forwarded through another host.
#[derive(Clone, Copy, Debug)]
pub struct RelayedFields {
    /// The time left until the request's deadline.
    pub time_left: Duration,
    /// The id of the event after which to resume a stream.
    pub last_event: Option<u64>,
    /// The length of the body in bytes.
    pub body_len: usize,
    /// The state of the request at this host.
    pub relayed: Relayed,
}

/// The fields of an endpoint's response that `forward` and `route` use.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ResponseFields {
    /// The id of the request that it responds to.
    pub id: Option<RequestId>,
    /// Whether the endpoint states that the request has not run.
    pub not_run: bool,
    /// Whether the endpoint states that it is leaving.
    pub is_leaving: bool,
    /// Whether the endpoint's signature is present.
    pub is_signed: bool,
    /// The load that the endpoint reports, or why its report can't be used.
    pub load: Option<Result<Load, LoadError>>,
    /// The model's confidence in its response, from 0 to 100.
    pub confidence: Option<u8>,
    /// The rate that the endpoint takes from all hosts together.
    pub rate_limit: Option<RequestRate>,
    /// The requests that the endpoint may refuse in a second; it exits if there are more.
    pub max_refusals: Option<u64>,
    /// The time for which the endpoint asks to get no further requests.
    pub retry_after: Option<Duration>,
    /// The endpoint's idle timeout for the connection.
    pub keep_alive: Option<Duration>,
}
