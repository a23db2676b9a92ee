//! Writing an encoded message to a connection as its bytes come.

use std::io;
use std::pin::Pin;
use std::task::Poll;
use std::time::Duration;

use async_std::future::timeout;
use async_std::net::TcpStream;
use futures::future::poll_fn;
use futures::io::{AsyncRead, AsyncWriteExt};

/// The buffer to begin with, and the one that a message gets which keeps
/// filling it. Thousands of streams wait at a time, with a token now and then.
const FIRST_BUFFER: usize = 2 * 1024;
const MAX_BUFFER: usize = 32 * 1024;
/// The chunk encoder of `async-h1` asserts that it has room for its framing.
const MIN_ROOM: usize = 64;

/// Which side of a relay failed.
#[derive(Debug)]
pub(crate) enum RelayError {
    /// The message broke off before its end.
    Source(io::Error),
    /// The peer takes no more bytes.
    Sink(io::Error),
}

/// Copies `source` to `stream` until it ends and counts what left in `sent`.
///
/// What is ready is written at once, in one piece where it fits: a token isn't
/// held back for the next one, and a head shares a packet with a short body.
/// `stall` bounds the time for which the peer may take nothing.
pub(crate) async fn relay(
    source: &mut (impl AsyncRead + Unpin),
    mut stream: &TcpStream,
    stall: Duration,
    sent: &mut u64,
) -> Result<(), RelayError> {
    let mut buf = vec![0; FIRST_BUFFER];
    loop {
        let (len, state) = fill(source, &mut buf).await;
        let mut rest = &buf[..len];
        while !rest.is_empty() {
            let written = timeout(stall, stream.write(rest))
                .await
                .map_err(|_| RelayError::Sink(io::ErrorKind::TimedOut.into()))?
                .map_err(RelayError::Sink)?;
            *sent += written as u64;
            rest = &rest[written..];
        }
        match state {
            Source::Open if buf.len() - len < MIN_ROOM && buf.len() < MAX_BUFFER => {
                buf.resize(buf.len() * 2, 0);
            }
            Source::Open => {}
            Source::Ended => return Ok(()),
            Source::Broken(err) => return Err(RelayError::Source(err)),
        }
    }
}

enum Source {
    Open,
    Ended,
    Broken(io::Error),
}

/// Reads what is ready, waiting only while nothing is.
async fn fill(source: &mut (impl AsyncRead + Unpin), buf: &mut [u8]) -> (usize, Source) {
    let mut len = 0;
    poll_fn(|cx| {
        while buf.len() - len >= MIN_ROOM {
            match Pin::new(&mut *source).poll_read(cx, &mut buf[len..]) {
                Poll::Ready(Ok(0)) => return Poll::Ready((len, Source::Ended)),
                Poll::Ready(Ok(got)) => len += got,
                Poll::Ready(Err(err)) => return Poll::Ready((len, Source::Broken(err))),
                Poll::Pending if len == 0 => return Poll::Pending,
                Poll::Pending => break,
            }
        }
        Poll::Ready((len, Source::Open))
    })
    .await
}
