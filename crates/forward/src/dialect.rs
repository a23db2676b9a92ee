//! The port through which requests and answers are spelled.

use std::time::Duration;

use framing::{request, response};
use kernel::{Customer, RequestId};
use route::endpoint::Load;
use route::{Placement, Shape};

/// How callers' requests and endpoints' answers are spelled on the wire.
///
/// An implementation translates and decides nothing.
pub trait Dialect: 'static {
    /// What a request says.
    fn asked(&self, head: &request::Head) -> Asked;

    /// The head under which a request goes to an endpoint, its blank line included.
    fn address(&self, head: &request::Head, to: &Addressing<'_>) -> Vec<u8>;

    /// What an answer says.
    fn told(&self, head: &response::Head) -> Told;

    /// Whether a field of an endpoint's answer is passed on to the caller.
    fn passes(&self, field: &str) -> bool;

    /// The name of the field that echoes a request's id.
    fn id_field(&self) -> &'static str;
}

/// What a request says, apart from its route.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Asked {
    /// The caller's name for it.
    pub id: Option<RequestId>,
    /// The customer's key.
    pub key: Option<String>,
    /// How long the caller waits.
    pub patience: Option<Duration>,
    /// The event after which a stream goes on.
    pub last_event: Option<u64>,
    /// What it asks for.
    pub shape: Shape,
}

/// What the head of a request to an endpoint says beside what the caller sent.
#[derive(Clone, Debug)]
pub struct Addressing<'a> {
    /// Where it goes.
    pub placement: &'a Placement,
    /// Whose it is.
    pub customer: Option<&'a Customer>,
    /// How long the answer is of use.
    pub left: Duration,
    /// The event after which a stream goes on.
    pub last_event: Option<u64>,
    /// The bytes of the body.
    pub body_len: usize,
    /// Its rank, the most urgent 0.
    pub priority: u8,
}

/// What an answer says, apart from its status.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Told {
    /// The request that it answers.
    pub id: Option<RequestId>,
    /// Whether the endpoint says that it ran nothing.
    pub not_run: bool,
    /// Whether the endpoint says that it is leaving.
    pub is_leaving: bool,
    /// Whether it bears the endpoint's signature.
    pub is_signed: bool,
    /// The endpoint's load.
    pub load: Option<Load>,
    /// How sure the model is, from 0 to 100.
    pub confidence: Option<u8>,
    /// For how long the endpoint, which refuses, wants nothing of this host.
    pub retry_after: Option<Duration>,
    /// How long the endpoint keeps the connection.
    pub keeps: Option<Duration>,
}
