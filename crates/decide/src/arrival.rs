//! Requests as they arrive at the host.

use std::time::Duration;

use crate::key;
use crate::policy::{Priority, RetryPolicy};

/// A request that has been authenticated and parsed.
#[derive(Clone, Debug)]
pub struct Arrival {
    /// The request's id, unique for the lifetime of this decider.
    pub request: key::Request,
    /// The customer that sent the request.
    pub customer: key::Customer,
    /// The requested work.
    pub work: Work,
    /// The priority; by default that of the profile or service.
    pub priority: Option<Priority>,
    /// The time at which the caller stops waiting, on the clock of the `now` passed to
    /// [`Decider::handle`](crate::Decider::handle); by default that of the profile or service.
    pub deadline: Option<Duration>,
}

/// The work that a request asks for.
#[derive(Clone, Debug)]
pub enum Work {
    /// A model request.
    Chat(Chat),
    /// A call of a plain service.
    Call(Call),
}

/// A model request.
#[derive(Clone, Debug)]
pub struct Chat {
    /// The profile that the caller named.
    pub profile: key::Profile,
    /// The request class.
    pub class: key::Class,
    /// The estimated number of tokens in the prompt.
    pub prompt_tokens: u32,
    /// The maximum number of completion tokens; zero for no limit.
    pub max_tokens: u32,
    /// A hash of the start of the prompt, used to select an endpoint that has the prefix cached;
    /// zero for none.
    pub prefix: u64,
    /// The version that the session is pinned to, if any.
    pub pin: Option<Pin>,
}

/// The version named by a session token.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Pin {
    /// A version in the policy.
    Version(key::Version),
    /// A version that is no longer in the policy.
    Gone,
}

/// A call of a plain service.
#[derive(Clone, Debug)]
pub struct Call {
    /// The service.
    pub service: key::Service,
    /// The route's retry policy, which overrides that of the service.
    pub retry_policy: Option<RetryPolicy>,
}
