//! Conversion of the cores' refusals into problems for callers.

use gate::problem::{Problem, Reason, Run};

/// Converts a refusal of the decider. `run` is the execution state known to the ledger, which
/// includes earlier arrivals. Both have to say `NotRun` for the problem to say so.
pub(crate) fn decided(refusal: decide::Refusal, run: Run) -> Problem {
    use decide::refusal::{Reason as Decided, Run as Ran};
    let (reason, detail) = match refusal.reason {
        Decided::UnknownProfile => (
            Reason::UnknownProfile,
            "the profile is not configured any more",
        ),
        Decided::UnknownService => (
            Reason::UnknownService,
            "the service is not configured any more",
        ),
        Decided::NotAllowed => (Reason::NotAllowed, "the customer may not use this profile"),
        Decided::RateLimited => (Reason::RateLimited, "the customer's rate is used up"),
        Decided::ConcurrencyLimited => (
            Reason::ConcurrencyLimited,
            "the customer has its greatest number of requests open",
        ),
        Decided::Overloaded => (Reason::Overloaded, "too much waits for the endpoints"),
        Decided::Deadline => (
            Reason::Deadline,
            "the answer can't come before the deadline",
        ),
        Decided::NoVersion => (
            Reason::NoVersion,
            "every version that the customer may use is withdrawn",
        ),
        Decided::NoEndpoint => (Reason::NoEndpoint, "no live endpoint has what is needed"),
        Decided::CostCap => (
            Reason::CostCap,
            "the request would cost more than the profile's cap",
        ),
        Decided::UpstreamFailed => (Reason::UpstreamFailed, "the endpoints failed"),
        Decided::AnswerCut => (
            Reason::AnswerCut,
            "the answer broke off after part of it was sent",
        ),
        Decided::NotReady => (Reason::NotReady, "this host has no configuration yet"),
    };
    let run = match refusal.run {
        Ran::NotRun => run,
        Ran::Unknown => Run::Unknown,
    };
    Problem::new(reason, run, detail).retry_after(refusal.retry_after)
}

/// Converts a refusal of the ledger.
pub(crate) fn booked(refusal: ledger::Refusal) -> Problem {
    use ledger::Reason as Booked;
    let (reason, detail) = match refusal.reason {
        Booked::StoreOut => (
            Reason::StoreOut,
            "the table does not answer, and without it a second run can't be ruled out",
        ),
        Booked::InProgress => (Reason::InProgress, "another arrival of this key is running"),
        Booked::HolderGone => (
            Reason::HolderGone,
            "the host that ran this key is gone, and nobody knows how it ended",
        ),
        Booked::KeyReused => (
            Reason::KeyReused,
            "idempotency-key: was used for another request; take a new one",
        ),
        Booked::AnswerCut => (
            Reason::AnswerCut,
            "the request was answered before, and its answer is no longer kept",
        ),
        Booked::UpstreamFailed => (
            Reason::UpstreamFailed,
            "an earlier arrival of this key was sent and never answered",
        ),
        Booked::Overloaded => (
            Reason::Overloaded,
            "too many idempotency keys are remembered",
        ),
        Booked::Leaving => (
            Reason::Leaving,
            "this host is shutting down; use another one",
        ),
    };
    Problem::new(reason, ran(refusal.run), detail).retry_after(refusal.retry_after)
}

/// Converts the ledger's execution state of a request.
pub(crate) fn ran(run: ledger::Run) -> Run {
    match run {
        ledger::Run::NotRun => Run::NotRun,
        ledger::Run::Unknown => Run::Unknown,
    }
}
