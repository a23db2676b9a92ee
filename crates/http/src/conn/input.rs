//! The read buffer of a connection.

use std::io;
use std::pin::Pin;
use std::task::{Context, Poll, Waker, ready};

use async_std::net::TcpStream;
use futures::io::AsyncRead;

/// The read buffer of a connection, and the state of reading the current message.
#[derive(Debug, Default)]
pub(super) struct Input {
    pub(super) buf: Vec<u8>,
    pub(super) pos: usize,
    /// Number of bytes that the decoder may still read; `None` means no limit.
    pub(super) remaining: Option<u64>,
    /// Whether the last read polled the socket and got `Pending`, so that the socket wakes the
    /// task.
    pub(super) waker_registered: bool,
    /// Whether the message's body has been completely read.
    pub(super) body_done: bool,
    /// Waker of the task that waits until the body has been read.
    pub(super) body_waker: Option<Waker>,
    pub(super) continue_state: ContinueState,
}

/// The state of the interim response `100 Continue`.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) enum ContinueState {
    /// Not expected, already written, or no longer possible.
    #[default]
    NotNeeded,
    /// The peer expects it; this number of bytes of the interim response has been written.
    Expected(usize),
}

impl Input {
    /// Reads from the buffer, or from the socket if the buffer is empty, up to the limit.
    pub(super) fn poll_read(
        &mut self,
        stream: &TcpStream,
        cx: &mut Context<'_>,
        buf: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let remaining = self.remaining.unwrap_or(u64::MAX);
        let max = usize::try_from(remaining)
            .unwrap_or(usize::MAX)
            .min(buf.len());
        let buf = &mut buf[..max];
        self.waker_registered = false;
        let got = if self.pos < self.buf.len() {
            let rest = &self.buf[self.pos..];
            let len = rest.len().min(buf.len());
            buf[..len].copy_from_slice(&rest[..len]);
            self.pos += len;
            if self.pos == self.buf.len() {
                // Frees the buffer, which isn't needed while a connection streams or is idle.
                self.buf = Vec::new();
                self.pos = 0;
            }
            len
        } else if buf.is_empty() {
            0
        } else {
            let read = Pin::new(&mut &*stream).poll_read(cx, buf);
            self.waker_registered = read.is_pending();
            ready!(read)?
        };
        if let Some(remaining) = &mut self.remaining {
            *remaining -= got as u64;
        }
        Poll::Ready(Ok(got))
    }
}
