//! `poll_read` for buffered readers.

use std::io;
use std::pin::Pin;
use std::task::{Context, Poll, ready};

use futures::io::AsyncBufRead;

/// Implements [`poll_read`] by copying from the buffer of `source` into `buf`.
///
/// [`poll_read`]: futures::io::AsyncRead::poll_read
pub(crate) fn poll_copy(
    mut source: Pin<&mut impl AsyncBufRead>,
    cx: &mut Context<'_>,
    buf: &mut [u8],
) -> Poll<io::Result<usize>> {
    let bytes = ready!(source.as_mut().poll_fill_buf(cx))?;
    let len = bytes.len().min(buf.len());
    buf[..len].copy_from_slice(&bytes[..len]);
    source.consume(len);
    Poll::Ready(Ok(len))
}
