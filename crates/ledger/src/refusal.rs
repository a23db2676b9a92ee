//! Why a call isn't dispatched.

use std::time::Duration;

use derive_more::Display;

/// Why a call isn't dispatched, and what is known about its execution.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// The reason.
    pub reason: Reason,
    /// Whether the request may have run, now or at an earlier arrival of its key.
    pub run: Run,
    /// When a repeat may go better.
    pub retry_after: Option<Duration>,
}

/// The reasons for which the ledger refuses; each is one of the callers' reasons.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Reason {
    /// The table is needed and doesn't answer, or too much waits for it.
    #[display("store_out")]
    StoreOut,
    /// Another arrival of the same key is running.
    #[display("in_progress")]
    InProgress,
    /// The host that held the key is gone, or it no longer remembers.
    #[display("holder_gone")]
    HolderGone,
    /// The key was used for another body.
    #[display("key_reused")]
    KeyReused,
    /// The request was answered, and the answer is no longer kept.
    #[display("answer_cut")]
    AnswerCut,
    /// An earlier arrival of the key was sent and never answered.
    #[display("upstream_failed")]
    UpstreamFailed,
    /// Too many keys are remembered.
    #[display("overloaded")]
    Overloaded,
    /// This host is shutting down.
    #[display("leaving")]
    Leaving,
}

/// What is known about the execution of a request.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash)]
pub enum Run {
    /// It is proved that no endpoint ran the request, at this arrival or an earlier one.
    #[display("not_run")]
    NotRun,
    /// An endpoint may have run it.
    #[display("unknown")]
    Unknown,
}
