//! What is said of requests and attempts.

use std::time::Duration;

use kernel::RequestId;
use route::{Denial, Ending, Failure, Placement, Print, Withheld};

/// How a request ended.
#[derive(Clone, Debug)]
pub struct Report<'a> {
    /// The request.
    pub id: &'a RequestId,
    /// What it says, whatever its caller calls it; known once it was admitted, or refused
    /// for that.
    pub print: Option<Print>,
    /// Its route, if one was found.
    pub route: Option<&'a str>,
    /// Whose it is.
    pub customer: Option<&'a str>,
    /// How it ended.
    pub outcome: Outcome,
    /// The status that the caller got; 0 for none.
    pub status: u16,
    /// From the head's arrival to the first byte of an endpoint's answer.
    pub first: Option<Duration>,
    /// The longest pause between two parts of the answer.
    pub pause: Option<Duration>,
    /// From the head's arrival to the end.
    pub total: Duration,
    /// How many endpoints it was sent to.
    pub attempts: u32,
    /// How many events of a stream were written to the caller. A failure that
    /// is passed on after one of them is no answer that a caller can read.
    pub events: u64,
    /// Its attempts in order: the endpoint, how it ended and the milliseconds.
    pub trail: &'a str,
    /// Whether anything went wrong on the way to its end.
    pub smooth: Smooth,
    /// The version of the configuration by which it was routed.
    pub config: Option<u64>,
}

/// How a request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// An endpoint's answer was passed on, whole.
    Answered,
    /// It was turned away before any endpoint was considered.
    Denied(Denial),
    /// It broke a limit or the protocol.
    Rejected,
    /// It ended without an endpoint's answer, or in the middle of one.
    Failed(Failure),
    /// The caller left.
    Gone,
}

/// Whether anything went wrong with a request's attempts.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Smooth {
    /// No: each one answered, or was dropped for a larger model's.
    #[default]
    Yes,
    /// One failed.
    No,
}

impl From<Ending> for Smooth {
    fn from(ending: Ending) -> Self {
        match ending {
            Ending::Answered | Ending::Unsure => Self::Yes,
            _ => Self::No,
        }
    }
}

/// How an attempt ended, and what decided where it went.
#[derive(Clone, Debug)]
pub struct Attempt<'a> {
    /// The request.
    pub id: &'a RequestId,
    /// What the request says, whatever its caller calls it.
    pub print: Print,
    /// Which attempt of the request this is, from 1.
    pub number: u32,
    /// Where it went, and why.
    pub placement: &'a Placement,
    /// How it ended.
    pub ending: Ending,
    /// How long it took.
    pub took: Duration,
    /// What was left of the request's time when it began.
    pub left: Duration,
    /// The version of the configuration in force.
    pub config: Option<u64>,
    /// How sure the model was of its answer, from 0 to 100.
    pub confidence: Option<u8>,
    /// Whether the answer said that its endpoint leaves.
    pub is_leaving: Option<bool>,
    /// Why nothing went out, if that was withheld.
    pub withheld: Option<Withheld>,
    /// The last event of a stream that the caller had when it ended.
    pub last_event: Option<u64>,
    /// The status of the endpoint's answer.
    pub status: Option<u16>,
    /// The connection that it went over, once there was one.
    pub connection: Option<Connection>,
    /// How many answers to other requests came before its own and were dropped.
    pub strays: u32,
}

/// The connection that an attempt went over. What an endpoint still has to say
/// to an earlier request can come on a kept one only.
#[derive(Clone, Copy, Debug, PartialEq, Eq, derive_more::Display)]
pub enum Connection {
    /// Opened for it.
    #[display("opened")]
    Opened,
    /// Kept from an earlier request.
    #[display("kept")]
    Kept,
}

impl Outcome {
    /// A name for metrics.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::Answered => "answered",
            Self::Denied(_) => "denied",
            Self::Rejected => "rejected",
            Self::Failed(Failure::NotRun { .. }) => "refused",
            Self::Failed(Failure::Passed) => "passed",
            Self::Failed(Failure::Lost) => "lost",
            Self::Failed(Failure::Late) => "late",
            Self::Gone => "caller_gone",
        }
    }
}
