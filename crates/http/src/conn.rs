//! A connection as `async-h1` reads it, with what that library leaves open closed.
//!
//! The library reads heads through a buffer that it drops together with what
//! follows them, asserts that header values are ASCII, takes an answer without
//! a length for an empty one and may wait for a wake-up that it didn't ask for.
//! Heads are therefore read here, checked, and handed to it byte for byte.

mod input;

use std::io;
use std::pin::Pin;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll};

use async_std::net::TcpStream;
use futures::future::poll_fn;
use futures::io::{AsyncRead, AsyncWrite};

use input::{GoOn, Input};

const HEAD_END: &[u8] = b"\r\n\r\n";
const READ_SIZE: usize = 8 * 1024;
const GO_ON: &[u8] = b"HTTP/1.1 100 Continue\r\n\r\n";

/// The greatest head that `async-h1` takes, in bytes.
pub(crate) const MAX_HEAD: usize = 8 * 1024 - 1;

/// A connection and the bytes that were read from it ahead of their use.
#[derive(Clone, Debug)]
pub(crate) struct Conn {
    stream: TcpStream,
    input: Arc<Mutex<Input>>,
}

/// What happens to what readers of a head differ on: bytes beyond ASCII, and line ends
/// other than CR LF.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Foreign {
    /// The head is malformed.
    Refuse,
    /// The bytes become `?`: the peer's answer is worth more than one of its headers.
    Replace,
}

/// Why there is no head.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum HeadError {
    /// The peer closed before the first byte.
    Closed,
    /// The peer closed, or its connection broke, within the head.
    Broken(io::ErrorKind),
    /// The head is longer than the limit.
    TooLarge,
    /// The head has bytes that no head may have.
    Malformed,
}

impl Conn {
    pub(crate) fn new(stream: TcpStream) -> Self {
        let input = Input {
            left: Some(0),
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
    pub(crate) async fn first_byte(&self) -> Result<(), HeadError> {
        if self.has_input() {
            return Ok(());
        }
        match self.fill().await {
            Ok(0) => Err(HeadError::Closed),
            Ok(_) => Ok(()),
            Err(err) => Err(HeadError::Broken(err.kind())),
        }
    }

    /// Reads up to the end of a head, so that the decoder can then take it
    /// without waiting, and lets it take no byte more.
    pub(crate) async fn head(&self, max: usize, foreign: Foreign) -> Result<(), HeadError> {
        let max = max.min(MAX_HEAD);
        let mut searched = 0;
        loop {
            if let Some(end) = self.find_head_end(&mut searched) {
                return if end > max {
                    Err(HeadError::TooLarge)
                } else {
                    self.release_head(end, foreign)
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

    /// Lets the body be read: `len` bytes, or as many as come.
    pub(crate) fn release_body(&self, len: Option<u64>) {
        let mut input = self.input();
        input.left = len;
        input.body_done = len == Some(0);
    }

    /// Says that the body has been read to its end.
    pub(crate) fn finish_body(&self) {
        let mut input = self.input();
        input.body_done = true;
        if let Some(watcher) = input.watcher.take() {
            watcher.wake();
        }
    }

    /// Whether the body has been read to its end.
    pub(crate) fn is_body_done(&self) -> bool {
        self.input().body_done
    }

    /// Whether the peer sent bytes that nobody asked for yet.
    pub(crate) fn has_input(&self) -> bool {
        let input = self.input();
        input.pos < input.buf.len()
    }

    /// Whether the connection is fit for another request: open and silent.
    ///
    /// A peer that closed an idle connection, or sent something unasked, would
    /// otherwise be found out only after the next request had left.
    pub(crate) async fn is_idle(&self) -> bool {
        if self.has_input() {
            return false;
        }
        let mut byte = [0];
        let mut peek = Box::pin(self.stream.peek(&mut byte));
        poll_fn(|cx| Poll::Ready(peek.as_mut().poll(cx).is_pending())).await
    }

    /// Completes when the peer closed its side or the connection broke, and
    /// never once it sent more than the body: it is there and waits for its turn.
    pub(crate) async fn closed(&self) {
        self.body_read().await;
        let mut byte = [0];
        if self.has_input() || matches!(self.stream.peek(&mut byte).await, Ok(1..)) {
            futures::future::pending::<()>().await;
        }
    }

    async fn body_read(&self) {
        poll_fn(|cx| {
            let mut input = self.input();
            if input.body_done {
                return Poll::Ready(());
            }
            input.watcher = Some(cx.waker().clone());
            Poll::Pending
        })
        .await;
    }

    /// Says that the peer waits for a word before it sends the body.
    pub(crate) fn owe_go_on(&self) {
        self.input().go_on = GoOn::Due(0);
    }

    /// Writes the word to go on, if the peer still waits for it.
    ///
    /// Failure: the library has a task of its own write it once the body is first
    /// asked for. Where the body was there already, the word came behind the answer,
    /// and the caller read a second status line in it. It is written by whoever waits
    /// for the body instead, under the lock that [`Self::begin_answer`] takes, and so
    /// never once the answer has begun.
    pub(crate) fn poll_go_on(&self, cx: &mut Context<'_>) {
        let mut input = self.input();
        while let GoOn::Due(written) = input.go_on {
            let rest = &GO_ON[written..];
            let Poll::Ready(result) = Pin::new(&mut &self.stream).poll_write(cx, rest) else {
                return;
            };
            input.go_on = match result {
                Ok(got @ 1..) if got < rest.len() => GoOn::Due(written + got),
                // All is written, or the connection is broken: who reads from it sees that.
                _ => GoOn::Done,
            };
        }
    }

    /// Takes it that the answer begins, and says whether it can: not behind a part
    /// of the word to go on.
    pub(crate) fn begin_answer(&self) -> bool {
        matches!(
            std::mem::take(&mut self.input().go_on),
            GoOn::Done | GoOn::Due(0)
        )
    }

    /// Has a task polled again that waits for bytes which nobody asked the
    /// socket for: the library's chunk decoder does so when the last line end
    /// comes in two parts, and the caller of a whole answer would wait until
    /// its time is over.
    pub(crate) fn keep_armed(&self, cx: &Context<'_>) {
        if !self.input().armed {
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

    fn release_head(&self, end: usize, foreign: Foreign) -> Result<(), HeadError> {
        let mut input = self.input();
        let head = input.pos..input.pos + end;
        let head = &mut input.buf[head];
        if foreign == Foreign::Refuse && !has_sound_line_ends(head) {
            return Err(HeadError::Malformed);
        }
        for byte in head {
            if foreign == Foreign::Replace && !byte.is_ascii() {
                *byte = b'?';
            }
            if !is_head_byte(*byte) {
                return Err(HeadError::Malformed);
            }
        }
        input.left = Some(end as u64);
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

/// Whether lines end with CR LF only.
///
/// Failure: for the library a head ends at two line feeds, for this connection at two
/// CR LF. A request behind the former was handed over as the rest of the head, and was
/// lost: its caller took each later answer for the one to the request before it. Where
/// a line feed or a CR can't stand alone, both find the same end.
fn has_sound_line_ends(head: &[u8]) -> bool {
    let lf = |at: usize| at > 0 && head[at - 1] == b'\r';
    let cr = |at: usize| head.get(at + 1) == Some(&b'\n');
    head.iter().enumerate().all(|(at, byte)| match byte {
        b'\n' => lf(at),
        b'\r' => cr(at),
        _ => true,
    })
}

/// Control bytes other than tab and line ends have no place in a head, and a
/// byte beyond ASCII in a header value would make the library panic.
fn is_head_byte(byte: u8) -> bool {
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

/// All that the library writes by itself is a word to go on. It goes nowhere, see
/// [`Conn::poll_go_on`].
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
