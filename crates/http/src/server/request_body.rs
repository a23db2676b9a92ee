//! Bodies of received requests.

use std::io;
use std::pin::Pin;
use std::task::{Context, Poll, ready};
use std::time::{Duration, Instant};

use futures::io::{AsyncBufRead, AsyncRead};

use crate::Error;
use crate::conn::Conn;
use crate::copy::poll_copy;
use crate::deadline::Deadline;

/// A request's body, limited in size and time.
pub(super) struct RequestBody {
    body: http_types::Body,
    conn: Conn,
    /// Number of bytes left of the content length, if there is one.
    length_remaining: Option<u64>,
    /// Number of bytes left of the size limit.
    limit_remaining: usize,
    limit: usize,
    deadline: Deadline,
}

impl RequestBody {
    pub(super) fn new(
        body: http_types::Body,
        conn: Conn,
        length_remaining: Option<u64>,
        limit: usize,
        timeout: Duration,
    ) -> Self {
        Self {
            body,
            conn,
            length_remaining,
            limit_remaining: limit,
            limit,
            deadline: Deadline::new(Instant::now() + timeout),
        }
    }

    fn poll_ready(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        if self.conn.is_body_done() {
            return Poll::Ready(Ok(()));
        }
        self.deadline.check()?;
        if let Poll::Ready(bytes) = Pin::new(&mut self.body).poll_fill_buf(cx) {
            let len = bytes?.len();
            if len > self.limit_remaining {
                return Poll::Ready(Err(Error::TooLarge { limit: self.limit }.into()));
            }
            if len == 0 && self.length_remaining.is_some() {
                return Poll::Ready(Err(io::ErrorKind::UnexpectedEof.into()));
            }
            if len == 0 {
                self.conn.finish_body();
            }
            return Poll::Ready(Ok(()));
        }
        self.conn.poll_write_continue(cx);
        self.conn.wake_if_not_registered(cx);
        self.deadline.poll(cx)
    }
}

impl AsyncBufRead for RequestBody {
    fn poll_fill_buf(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<&[u8]>> {
        let this = self.get_mut();
        ready!(this.poll_ready(cx))?;
        if this.conn.is_body_done() {
            return Poll::Ready(Ok(&[]));
        }
        Pin::new(&mut this.body).poll_fill_buf(cx)
    }

    fn consume(mut self: Pin<&mut Self>, amt: usize) {
        self.limit_remaining = self.limit_remaining.saturating_sub(amt);
        Pin::new(&mut self.body).consume(amt);
        if let Some(length_remaining) = &mut self.length_remaining {
            *length_remaining = length_remaining.saturating_sub(amt as u64);
            if *length_remaining == 0 {
                self.conn.finish_body();
            }
        }
    }
}

impl AsyncRead for RequestBody {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        poll_copy(self, cx, buf)
    }
}
