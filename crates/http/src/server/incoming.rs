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
pub(super) struct Incoming {
    body: http_types::Body,
    conn: Conn,
    /// Number of bytes left of the content length, if there is one.
    left: Option<u64>,
    /// Number of bytes left of the size limit.
    room: usize,
    limit: usize,
    deadline: Deadline,
}

impl Incoming {
    pub(super) fn new(
        body: http_types::Body,
        conn: Conn,
        left: Option<u64>,
        limit: usize,
        time: Duration,
    ) -> Self {
        Self {
            body,
            conn,
            left,
            room: limit,
            limit,
            deadline: Deadline::new(Instant::now() + time),
        }
    }

    fn poll_more(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        if self.conn.is_body_done() {
            return Poll::Ready(Ok(()));
        }
        self.deadline.check()?;
        if let Poll::Ready(bytes) = Pin::new(&mut self.body).poll_fill_buf(cx) {
            let len = bytes?.len();
            if len > self.room {
                return Poll::Ready(Err(Error::TooLarge { limit: self.limit }.into()));
            }
            if len == 0 && self.left.is_some() {
                return Poll::Ready(Err(io::ErrorKind::UnexpectedEof.into()));
            }
            if len == 0 {
                self.conn.finish_body();
            }
            return Poll::Ready(Ok(()));
        }
        self.conn.poll_go_on(cx);
        self.conn.keep_armed(cx);
        self.deadline.poll(cx)
    }
}

impl AsyncBufRead for Incoming {
    fn poll_fill_buf(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<&[u8]>> {
        let this = self.get_mut();
        ready!(this.poll_more(cx))?;
        if this.conn.is_body_done() {
            return Poll::Ready(Ok(&[]));
        }
        Pin::new(&mut this.body).poll_fill_buf(cx)
    }

    fn consume(mut self: Pin<&mut Self>, amt: usize) {
        self.room = self.room.saturating_sub(amt);
        Pin::new(&mut self.body).consume(amt);
        if let Some(left) = &mut self.left {
            *left = left.saturating_sub(amt as u64);
            if *left == 0 {
                self.conn.finish_body();
            }
        }
    }
}

impl AsyncRead for Incoming {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        poll_copy(self, cx, buf)
    }
}
