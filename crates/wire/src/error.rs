//! Why bytes aren't a frame.

use derive_more::{Display, Error};

/// Why bytes aren't a frame.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
pub enum Error {
    /// There are no bytes at all.
    #[display("no bytes")]
    Empty,
    /// The sender speaks a version that this host doesn't know.
    #[display("unknown version {_0}")]
    UnknownVersion(#[error(not(source))] u8),
    /// The frame exceeds [`crate::MAX_FRAME_BYTES`].
    #[display("{_0} bytes are more than a frame may have")]
    TooLarge(#[error(not(source))] usize),
    /// The body isn't any known frame.
    #[display("the body is no known frame")]
    Malformed,
    /// A whole frame is followed by more bytes.
    #[display("{_0} bytes follow the frame")]
    TrailingBytes(#[error(not(source))] usize),
}
