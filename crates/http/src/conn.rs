//! A connection that works around limitations of `async-h1`.
//!
//! The library reads heads through a buffer that it drops together with the bytes after the
//! head, asserts that header values are ASCII, treats a response without a length as empty, and
//! may return `Pending` without registering a waker. This module therefore reads and checks each
//! head itself, lets the library read exactly the bytes of the head, and wakes the reader if no
//! waker was registered. Bodies without a length are read past the library.

mod input;

use std::io;
use std::pin::Pin;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll};

use async_std::net::TcpStream;
use futures::future::poll_fn;
use futures::io::{AsyncRead, AsyncWrite};

use input::{ContinueState, Input};

const HEAD_END: &[u8] = b"\r\n\r\n";
const READ_SIZE: usize = 8 * 1024;
const CONTINUE: &[u8] = b"HTTP/1.1 100 Continue\r\n\r\n";

/// Maximum size of a head that `async-h1` accepts, in bytes.
pub(crate) const MAX_HEAD: usize = 8 * 1024 - 1;

/// A connection with a read buffer. Clones share the connection and the buffer.
#[derive(Clone, Debug)]
pub(crate) struct Conn {
    stream: TcpStream,
    input: Arc<Mutex<Input>>,
}

/// The treatment of heads with non-ASCII bytes, or with line endings other than CR LF.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum HeadPolicy {
    /// The head is rejected as malformed.
    Strict,
    /// Non-ASCII bytes are replaced by `?`, and line endings aren't checked: one invalid header
    /// value shouldn't fail the whole response.
    Lenient,
}

/// An error of reading a head.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum HeadError {
    /// The peer closed the connection before the first byte.
    Closed,
    /// The peer closed the connection within the head, or reading failed.
    Broken(io::ErrorKind),
    /// The head exceeds the size limit.
    TooLarge,
    /// The head contains invalid bytes or line endings.
    Malformed,
}

impl Conn {
    pub(crate) fn new(stream: TcpStream) -> Self {
        let input = Input {
            remaining: Some(0),
            ..Input::default()
        };
        Self {
            stream,
            input: Arc::new(Mutex::new(input)),
        }
    }

    pub(crate) fn stream(&self) -> &TcpStream {
        &self.stream
    }

    /// Waits for the first byte of a head.
    pub(crate) async fn wait_first_byte(&self) -> Result<(), HeadError> {
        if self.has_input() {
            return Ok(());
        }
        match self.fill().await {
            Ok(0) => Err(HeadError::Closed),
            Ok(_) => Ok(()),
            Err(err) => Err(HeadError::Broken(err.kind())),
        }
    }

    /// Reads and checks a head of at most `max` bytes. The decoder can then read the head without
    /// waiting, but no byte after it.
    pub(crate) async fn read_head(&self, max: usize, policy: HeadPolicy) -> Result<(), HeadError> {
        let max = max.min(MAX_HEAD);
        let mut searched = 0;
        loop {
            if let Some(end) = self.find_head_end(&mut searched) {
                return if end > max {
                    Err(HeadError::TooLarge)
                } else {
                    self.check_head(end, policy)
                };
            }
            if searched > max {
                return Err(HeadError::TooLarge);
            }
            match self.fill().await {
                Ok(0) if searched == 0 => return Err(HeadError::Closed),
                Ok(0) => return Err(HeadError::Broken(io::ErrorKind::UnexpectedEof)),
                Ok(_) => {}
                Err(err) => return Err(HeadError::Broken(err.kind())),
            }
        }
    }

    /// Allows the decoder to read the body: `len` bytes, or an unlimited number.
    pub(crate) fn allow_body(&self, len: Option<u64>) {
        let mut input = self.input();
        input.remaining = len;
        input.body_done = len == Some(0);
    }

    /// Marks the body as completely read.
    pub(crate) fn finish_body(&self) {
        let mut input = self.input();
        input.body_done = true;
        if let Some(body_waker) = input.body_waker.take() {
            body_waker.wake();
        }
    }

    /// Returns whether the body has been completely read.
    pub(crate) fn is_body_done(&self) -> bool {
        self.input().body_done
    }

    /// Returns whether the buffer holds unread bytes.
    pub(crate) fn has_input(&self) -> bool {
        let input = self.input();
        input.pos < input.buf.len()
    }

    /// Returns whether the connection can be reused: it is open and has no unread bytes.
    ///
    /// Without this check, a closed connection or an unsolicited response would be noticed only
    /// after the next request was written.
    pub(crate) async fn is_idle(&self) -> bool {
        if self.has_input() {
            return false;
        }
        let mut byte = [0];
        let mut peek = Box::pin(self.stream.peek(&mut byte));
        poll_fn(|cx| Poll::Ready(peek.as_mut().poll(cx).is_pending())).await
    }

    /// Waits until the body has been read, and then until the peer has closed its side or the
    /// connection has failed. Never completes if bytes follow the body, since a disconnect after
    /// them isn't detected.
    pub(crate) async fn wait_closed(&self) {
        self.wait_body_done().await;
        let mut byte = [0];
        if self.has_input() || matches!(self.stream.peek(&mut byte).await, Ok(1..)) {
            futures::future::pending::<()>().await;
        }
    }

    async fn wait_body_done(&self) {
        poll_fn(|cx| {
            let mut input = self.input();
            if input.body_done {
                return Poll::Ready(());
            }
            input.body_waker = Some(cx.waker().clone());
            Poll::Pending
        })
        .await;
    }

    /// Records that the peer expects an interim response `100 Continue` before it sends the body.
    pub(crate) fn expect_continue(&self) {
        self.input().continue_state = ContinueState::Expected(0);
    }

    /// Writes `100 Continue` if the peer still expects it.
    ///
    /// The library writes it from a separate task, which can be late and put it after the final
    /// response; the caller then takes it for the next response. Here the reader of the body
    /// writes it, under the lock that [`Self::begin_response`] takes, so never after the response
    /// has begun.
    pub(crate) fn poll_write_continue(&self, cx: &mut Context<'_>) {
        let mut input = self.input();
        while let ContinueState::Expected(written) = input.continue_state {
            let rest = &CONTINUE[written..];
            let Poll::Ready(result) = Pin::new(&mut &self.stream).poll_write(cx, rest) else {
                return;
            };
            input.continue_state = match result {
                Ok(got @ 1..) if got < rest.len() => ContinueState::Expected(written + got),
                // Either all is written, or the connection has failed, which readers of it notice.
                _ => ContinueState::NotNeeded,
            };
        }
    }

    /// Cancels a pending `100 Continue` before the final response is written. Returns false if a
    /// part of it has already been written, so that a response can't follow.
    pub(crate) fn begin_response(&self) -> bool {
        matches!(
            std::mem::take(&mut self.input().continue_state),
            ContinueState::NotNeeded | ContinueState::Expected(0)
        )
    }

    /// Wakes the task if its last read returned `Pending` without registering a waker.
    ///
    /// The library's chunk decoder does that when a read ends within the last CR LF. Without the
    /// wake-up, the reader of a complete body would wait until its deadline.
    pub(crate) fn wake_if_not_registered(&self, cx: &Context<'_>) {
        if !self.input().waker_registered {
            cx.waker().wake_by_ref();
        }
    }

    fn find_head_end(&self, searched: &mut usize) -> Option<usize> {
        let input = self.input();
        let bytes = &input.buf[input.pos..];
        let from = searched.saturating_sub(HEAD_END.len() - 1);
        *searched = bytes.len();
        bytes[from..]
            .windows(HEAD_END.len())
            .position(|it| it == HEAD_END)
            .map(|at| from + at + HEAD_END.len())
    }

    fn check_head(&self, end: usize, policy: HeadPolicy) -> Result<(), HeadError> {
        let mut input = self.input();
        let head = input.pos..input.pos + end;
        let head = &mut input.buf[head];
        if policy == HeadPolicy::Strict && !has_valid_line_endings(head) {
            return Err(HeadError::Malformed);
        }
        for byte in head {
            if policy == HeadPolicy::Lenient && !byte.is_ascii() {
                *byte = b'?';
            }
            if !is_valid_head_byte(*byte) {
                return Err(HeadError::Malformed);
            }
        }
        input.remaining = Some(end as u64);
        Ok(())
    }

    async fn fill(&self) -> io::Result<usize> {
        poll_fn(|cx| {
            let mut input = self.input();
            if input.pos > 0 {
                let pos = std::mem::take(&mut input.pos);
                input.buf.drain(..pos);
            }
            let len = input.buf.len();
            input.buf.resize(len + READ_SIZE, 0);
            let read = Pin::new(&mut &self.stream).poll_read(cx, &mut input.buf[len..]);
            let got = match &read {
                Poll::Ready(Ok(got)) => *got,
                _ => 0,
            };
            input.buf.truncate(len + got);
            read
        })
        .await
    }

    fn input(&self) -> MutexGuard<'_, Input> {
        self.input.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Returns whether all line endings are CR LF.
///
/// The library also ends a head at two line feeds, while this module ends it at two CR LF. In a
/// head with two line feeds before its two CR LF, the library would take the line feeds for the end
/// and drop the rest. If the rest is another request, it gets no response, and the caller matches
/// each later response to the request before.
fn has_valid_line_endings(head: &[u8]) -> bool {
    let lf = |at: usize| at > 0 && head[at - 1] == b'\r';
    let cr = |at: usize| head.get(at + 1) == Some(&b'\n');
    head.iter().enumerate().all(|(at, byte)| match byte {
        b'\n' => lf(at),
        b'\r' => cr(at),
        _ => true,
    })
}

/// Returns whether a byte is allowed in a head: printable ASCII, tab, CR and LF. A non-ASCII byte
/// in a header value would make the library panic.
fn is_valid_head_byte(byte: u8) -> bool {
    matches!(byte, b'\t' | b'\r' | b'\n' | b' '..=b'~')
}

impl AsyncRead for Conn {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        self.input().poll_read(&self.stream, cx, buf)
    }
}

/// Discards all writes. The library writes only `100 Continue` through this, which
/// [`Conn::poll_write_continue`] writes instead.
impl AsyncWrite for Conn {
    fn poll_write(
        self: Pin<&mut Self>,
        _: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Poll::Ready(Ok(buf.len()))
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_close(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }
}
