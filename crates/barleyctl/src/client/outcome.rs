//! The outcome of an attempt.

use gate::operator::Refusal;

/// The outcome of an attempt at one host.
pub(crate) enum AttemptOutcome {
    /// The host carried out the request; holds the response body.
    Succeeded(Vec<u8>),
    /// The host refused the request.
    Refused(Box<Refusal>),
    /// No byte of the request was sent; holds the reason.
    NotSent(String),
    /// The host may have carried out the request; holds the reason.
    InDoubt(String),
}
