//! What became of one try.

use gate::operator::Refusal;

/// What became of one try, told by what it means for a change.
pub(crate) enum Tried {
    /// The host did it.
    Answered(Vec<u8>),
    /// The host said why not.
    Refused(Box<Refusal>),
    /// Nothing left this process.
    NotSent(String),
    /// The host may have done it.
    InDoubt(String),
}
