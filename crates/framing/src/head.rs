//! Finding the end of a head, and checking its line endings.

use memchr::{memchr_iter, memmem};

use crate::Error;

/// Maximum number of fields in a head.
pub(crate) const MAX_FIELDS: usize = 128;

const END: &[u8] = b"\r\n\r\n";

/// Returns the length of the head at the start of `bytes`, including its blank line, or `None`
/// if the head is incomplete.
#[must_use]
pub fn end(bytes: &[u8]) -> Option<usize> {
    memmem::find(bytes, END).map(|at| at + END.len())
}

/// Rejects line endings other than CR LF.
///
/// Parsers differ in whether a lone LF or CR ends a line. If the relay and an endpoint
/// differed, a caller could smuggle a second request inside the first one.
pub(crate) fn check_line_ends(head: &[u8]) -> Result<(), Error> {
    let lf = memchr_iter(b'\n', head).all(|at| at > 0 && head[at - 1] == b'\r');
    let cr = memchr_iter(b'\r', head).all(|at| head.get(at + 1) == Some(&b'\n'));
    if lf && cr {
        Ok(())
    } else {
        Err(Error::Malformed)
    }
}

impl From<httparse::Error> for Error {
    fn from(err: httparse::Error) -> Self {
        match err {
            httparse::Error::TooManyHeaders => Self::TooManyFields,
            _ => Self::Malformed,
        }
    }
}
