//! Where a head ends, and whether its line ends are sound.

use memchr::{memchr_iter, memmem};

use crate::Error;

/// The most fields that a head may have.
pub(crate) const MAX_FIELDS: usize = 128;

const END: &[u8] = b"\r\n\r\n";

/// The length of the head at the start of `bytes`, its blank line included, or
/// nothing if it isn't all there.
#[must_use]
pub fn end(bytes: &[u8]) -> Option<usize> {
    memmem::find(bytes, END).map(|at| at + END.len())
}

/// Refuses line ends other than CR LF.
///
/// Readers differ in whether a lone LF or CR ends a line. Where a relay and an
/// endpoint disagree on that, a caller can hide a second request in the first;
/// without lone ones there is nothing to disagree on.
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
            httparse::Error::TooManyHeaders => Self::TooLarge,
            _ => Self::Malformed,
        }
    }
}
