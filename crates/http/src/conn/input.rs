//! The bytes that were read from a connection ahead of their use.

use std::io;
use std::pin::Pin;
use std::task::{Context, Poll, Waker, ready};

use async_std::net::TcpStream;
use futures::io::AsyncRead;

/// What was read from a connection and not yet handed out.
#[derive(Debug, Default)]
pub(super) struct Input {
    pub(super) buf: Vec<u8>,
    pub(super) pos: usize,
    /// How many more bytes may be handed out; nothing for as many as come.
    pub(super) left: Option<u64>,
    /// Whether the socket will wake the task that was last told to wait.
    pub(super) armed: bool,
    /// Whether the message's body has been read to its end.
    pub(super) body_done: bool,
    /// Who waits to watch for the peer's close until the body is read.
    pub(super) watcher: Option<Waker>,
    pub(super) go_on: GoOn,
}

/// Whether the peer waits for a word before it sends its body.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) enum GoOn {
    /// It doesn't, or gets none any more.
    #[default]
    Done,
    /// It does, and so many bytes of the word were written.
    Due(usize),
}

impl Input {
    /// Hands out bytes to the decoder, as many as it may have.
    pub(super) fn poll_read(
        &mut self,
        stream: &TcpStream,
        cx: &mut Context<'_>,
        buf: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let left = self.left.unwrap_or(u64::MAX);
        let max = usize::try_from(left).unwrap_or(usize::MAX).min(buf.len());
        let buf = &mut buf[..max];
        self.armed = false;
        let got = if self.pos < self.buf.len() {
            let rest = &self.buf[self.pos..];
            let len = rest.len().min(buf.len());
            buf[..len].copy_from_slice(&rest[..len]);
            self.pos += len;
            if self.pos == self.buf.len() {
                // A connection that streams or idles needs no room for a head.
                self.buf = Vec::new();
                self.pos = 0;
            }
            len
        } else if buf.is_empty() {
            0
        } else {
            let read = Pin::new(&mut &*stream).poll_read(cx, buf);
            self.armed = read.is_pending();
            ready!(read)?
        };
        if let Some(left) = &mut self.left {
            *left -= got as u64;
        }
        Poll::Ready(Ok(got))
    }
}
