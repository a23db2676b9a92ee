//! Why bytes are no message.

use derive_more::{Display, Error};

/// Why bytes are no message.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
pub enum Error {
    /// The bytes break the grammar, or two readers could see two messages in them.
    #[display("malformed message")]
    Malformed,
    /// The head is longer, or has more fields, than is allowed.
    #[display("head too large")]
    TooLarge,
    /// The peer closed before the message's end.
    #[display("message broken off")]
    Truncated,
}
