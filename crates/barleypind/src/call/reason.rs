//! Conversion of the cores' refusals into problems for callers.

use gate::problem::{Problem, Reason, Run};

/// Converts a refusal of the decider. `run` is the execution state known to the ledger, which
/// includes earlier arrivals. Both have to say `NotRun` for the problem to say so.
pub(crate) fn from_decider_refusal(refusal: decide::Refusal, run: Run) -> Problem {
    use decide::refusal::{Reason as DeciderReason, Run as DeciderRun};
    let (reason, detail) = match refusal.reason {
        DeciderReason::UnknownProfile => (
            Reason::UnknownProfile,
            "the profile is not configured any more",
        ),
        DeciderReason::UnknownService => (
            Reason::UnknownService,
            "the service is not configured any more",
        ),
        DeciderReason::NotAllowed => (Reason::NotAllowed, "the customer may not use this profile"),
        DeciderReason::RateLimited => (Reason::RateLimited, "the customer's rate is used up"),
        DeciderReason::ConcurrencyLimited => (
            Reason::ConcurrencyLimited,
            "the customer has its greatest number of requests open",
        ),
        DeciderReason::Overloaded => (Reason::Overloaded, "too much waits for the endpoints"),
        DeciderReason::Deadline => (
            Reason::Deadline,
            "the answer can't come before the deadline",
        ),
        DeciderReason::NoVersion => (
            Reason::NoVersion,
            "every version that the customer may use is withdrawn",
        ),
        DeciderReason::NoEndpoint => (Reason::NoEndpoint, "no live endpoint has what is needed"),
        DeciderReason::CostCap => (
            Reason::CostCap,
            "the request would cost more than the profile's cap",
        ),
        DeciderReason::UpstreamFailed => (Reason::UpstreamFailed, "the endpoints failed"),
        DeciderReason::AnswerCut => (
            Reason::AnswerCut,
            "the answer broke off after part of it was sent",
        ),
        DeciderReason::NotReady => (Reason::NotReady, "this host has no configuration yet"),
    };
    let run = match refusal.run {
        DeciderRun::NotRun => run,
        DeciderRun::Unknown => Run::Unknown,
    };
    Problem::new(reason, run, detail).retry_after(refusal.retry_after)
}

/// Converts a refusal of the ledger.
pub(crate) fn from_ledger_refusal(refusal: ledger::Refusal) -> Problem {
    use ledger::Reason as LedgerReason;
    let (reason, detail) = match refusal.reason {
        LedgerReason::StoreOut => (
            Reason::StoreOut,
            "the table does not answer, and without it a second run can't be ruled out",
        ),
        LedgerReason::InProgress => (Reason::InProgress, "another arrival of this key is running"),
        LedgerReason::HolderGone => (
            Reason::HolderGone,
            "the host that ran this key is gone, and nobody knows how it ended",
        ),
        LedgerReason::KeyReused => (
            Reason::KeyReused,
            "idempotency-key: was used for another request; take a new one",
        ),
        LedgerReason::AnswerCut => (
            Reason::AnswerCut,
            "the request was answered before, and its answer is no longer kept",
        ),
        LedgerReason::UpstreamFailed => (
            Reason::UpstreamFailed,
            "an earlier arrival of this key was sent and never answered",
        ),
        LedgerReason::Overloaded => (
            Reason::Overloaded,
            "too many idempotency keys are remembered",
        ),
        LedgerReason::Leaving => (
            Reason::Leaving,
            "this host is shutting down; use another one",
        ),
    };
    Problem::new(reason, run_state(refusal.run), detail).retry_after(refusal.retry_after)
}

/// Converts the ledger's execution state of a request.
pub(crate) fn run_state(run: ledger::Run) -> Run {
    match run {
        ledger::Run::NotRun => Run::NotRun,
        ledger::Run::Unknown => Run::Unknown,
    }
}
