//! Errors of encoding and decoding.

use derive_more::{Display, Error};

/// The reason for which a frame can't be encoded or decoded.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
pub enum Error {
    /// The input is empty.
    #[display("the frame is empty")]
    Empty,
    /// The version byte is not [`crate::VERSION`].
    #[display("unknown frame version {_0}")]
    UnknownVersion(#[error(not(source))] u8),
    /// The frame exceeds [`crate::MAX_FRAME_BYTES`].
    #[display("{_0} bytes exceed the maximum size of a frame")]
    TooLarge(#[error(not(source))] usize),
    /// The body can't be encoded, or can't be decoded as a frame.
    #[display("the frame's body is malformed")]
    Malformed,
    /// The frame is followed by further bytes.
    #[display("{_0} bytes follow the frame")]
    TrailingBytes(#[error(not(source))] usize),
}
