//! Refusals of calls.

use std::time::Duration;

use derive_more::Display;

/// The refusal of a call, and whether its request may have run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// The reason.
    pub reason: Reason,
    /// Whether the request may have run, at this or an earlier arrival of its key.
    pub run: Run,
    /// The recommended delay before a retry.
    pub retry_after: Option<Duration>,
}

/// The reason of a refusal. Each is also a reason in the callers' interface.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Reason {
    /// The table is needed and unavailable, or too many records wait for it.
    #[display("store_out")]
    StoreOut,
    /// Another arrival of the key is undecided or running and no more may wait for it, or a
    /// forwarded call reached a host that doesn't decide about its key.
    #[display("in_progress")]
    InProgress,
    /// The host that decided about the key is gone, didn't respond, or may have forgotten it; or
    /// the ticket has expired.
    #[display("holder_gone")]
    HolderGone,
    /// The key was used for another body.
    #[display("key_reused")]
    KeyReused,
    /// The request got a response that isn't stored or can't be read.
    #[display("answer_cut")]
    AnswerCut,
    /// An earlier arrival of the key was sent and got no response.
    #[display("upstream_failed")]
    UpstreamFailed,
    /// Too many keys are remembered.
    #[display("overloaded")]
    Overloaded,
    /// This host is shutting down.
    #[display("leaving")]
    Leaving,
}

/// Whether a request may have run.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash)]
pub enum Run {
    /// No endpoint ran the request, at this or an earlier arrival.
    #[display("not_run")]
    NotRun,
    /// An endpoint may have run it.
    #[display("unknown")]
    Unknown,
}
