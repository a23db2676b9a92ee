//! Errors of parsing and decoding messages.

use derive_more::{Display, Error};

/// An error of parsing a head or decoding a body.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
pub enum Error {
    /// The bytes violate the grammar, are incomplete, could be read differently by different
    /// parsers, or use a feature that this crate doesn't support.
    #[display("message is malformed")]
    Malformed,
    /// The head has more fields than allowed.
    #[display("head has too many fields")]
    TooManyFields,
    /// The peer closed the connection before the end of the message.
    #[display("message is incomplete")]
    Truncated,
}
