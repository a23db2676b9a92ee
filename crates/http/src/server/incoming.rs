//! The body of a request that came in.

use std::io;
use std::pin::Pin;
use std::task::{Context, Poll, ready};
use std::time::{Duration, Instant};

use async_std::task::sleep;
use futures::io::{AsyncBufRead, AsyncRead};

use crate::Error;
use crate::conn::Conn;
use crate::copy::poll_copy;

type Timer = Pin<Box<dyn Future<Output = ()> + Send + Sync>>;

/// A request's body within the limits of size and time.
pub(super) struct Incoming {
    body: http_types::Body,
    conn: Conn,
    /// How many bytes are still to come, when the head told.
    left: Option<u64>,
    /// How many bytes may still come.
    room: usize,
    limit: usize,
    deadline: Instant,
    timer: Option<Timer>,
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
            deadline: Instant::now() + time,
            timer: None,
        }
    }

    fn poll_more(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        if self.conn.is_body_done() {
            return Poll::Ready(Ok(()));
        }
        let time = self.deadline.saturating_duration_since(Instant::now());
        if time.is_zero() {
            return Poll::Ready(Err(io::ErrorKind::TimedOut.into()));
        }
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
        // See the same guard in the client: the chunk decoder may wait for a
        // line end without asking the connection to wake it.
        if !self.conn.is_armed() {
            cx.waker().wake_by_ref();
        }
        let timer = self.timer.get_or_insert_with(|| Box::pin(sleep(time)));
        ready!(timer.as_mut().poll(cx));
        self.timer = None;
        Poll::Ready(Err(io::ErrorKind::TimedOut.into()))
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
