//! A request that has come in.

use std::time::Duration;

use crate::key;
use crate::policy::{Priority, Repeat};

/// A request that has come in, authenticated and parsed.
#[derive(Clone, Debug)]
pub struct Arrival {
    /// The driver's number for it, never used before with this decider.
    pub request: key::Request,
    /// Whose it is.
    pub customer: key::Customer,
    /// What is asked for.
    pub work: Work,
    /// Overrides the priority of the profile or service.
    pub priority: Option<Priority>,
    /// When the caller stops waiting, on the clock of `now`; the default of the
    /// profile or service otherwise.
    pub deadline: Option<Duration>,
}

/// What a request asks for.
#[derive(Clone, Debug)]
pub enum Work {
    /// An answer of a model.
    Chat(Chat),
    /// A call of a plain service.
    Call(Call),
}

/// A request for an answer of a model.
#[derive(Clone, Debug)]
pub struct Chat {
    /// The profile that the caller named.
    pub profile: key::Profile,
    /// The request class.
    pub class: key::Class,
    /// An estimate of the prompt's tokens.
    pub prompt_tokens: u32,
    /// The most completion tokens that the caller accepts; zero for no bound.
    pub max_tokens: u32,
    /// A hash of the start of the prompt, by which requests find the endpoint
    /// that has the prefix cached; zero for none.
    pub prefix: u64,
    /// The version that the session is pinned to.
    pub pin: Option<Pin>,
}

/// The version that a session token names.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Pin {
    /// A version of the policy.
    Version(key::Version),
    /// A version that the policy no longer has.
    Gone,
}

/// A call of a plain service.
#[derive(Clone, Debug)]
pub struct Call {
    /// The service.
    pub service: key::Service,
    /// Overrides the service's own setting, as the route says.
    pub repeat: Option<Repeat>,
}
