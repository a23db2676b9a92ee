//! Writing of an encoded message to a connection.

use std::io;
use std::pin::Pin;
use std::task::Poll;
use std::time::Duration;

use async_std::future::timeout;
use async_std::net::TcpStream;
use futures::future::poll_fn;
use futures::io::{AsyncRead, AsyncWriteExt};

/// Initial size of the buffer, in bytes. It is doubled up to [`MAX_BUFFER`] when a message fills
/// it.
const INITIAL_BUFFER: usize = 2 * 1024;
/// Maximum size of the buffer, in bytes.
const MAX_BUFFER: usize = 32 * 1024;
/// Minimum free space in the buffer for a read, in bytes. The chunk encoder of `async-h1` panics
/// without room for its framing.
const MIN_ROOM: usize = 64;

/// An error of copying a message, by the side that failed.
#[derive(Debug)]
pub(crate) enum CopyError {
    /// Reading the message failed.
    Source(io::Error),
    /// Writing to the connection failed or timed out.
    Sink(io::Error),
}

/// Copies `source` to `stream` until it ends, and adds the number of bytes written to `sent`.
///
/// Bytes are written as soon as no more are available or the buffer is nearly full: a token
/// isn't delayed until the next one, and a head shares a packet with a short body. `write_timeout`
/// is the timeout of each write.
pub(crate) async fn copy_to_stream(
    source: &mut (impl AsyncRead + Unpin),
    mut stream: &TcpStream,
    write_timeout: Duration,
    sent: &mut u64,
) -> Result<(), CopyError> {
    let mut buf = vec![0; INITIAL_BUFFER];
    loop {
        let (len, state) = fill(source, &mut buf).await;
        let mut rest = &buf[..len];
        while !rest.is_empty() {
            let written = timeout(write_timeout, stream.write(rest))
                .await
                .map_err(|_| CopyError::Sink(io::ErrorKind::TimedOut.into()))?
                .map_err(CopyError::Sink)?;
            *sent += written as u64;
            rest = &rest[written..];
        }
        match state {
            SourceState::Open if buf.len() - len < MIN_ROOM && buf.len() < MAX_BUFFER => {
                buf.resize(buf.len() * 2, 0);
            }
            SourceState::Open => {}
            SourceState::Ended => return Ok(()),
            SourceState::Failed(err) => return Err(CopyError::Source(err)),
        }
    }
}

enum SourceState {
    Open,
    Ended,
    Failed(io::Error),
}

/// Reads the available bytes until the buffer is nearly full, waiting only if there are none.
async fn fill(source: &mut (impl AsyncRead + Unpin), buf: &mut [u8]) -> (usize, SourceState) {
    let mut len = 0;
    poll_fn(|cx| {
        while buf.len() - len >= MIN_ROOM {
            match Pin::new(&mut *source).poll_read(cx, &mut buf[len..]) {
                Poll::Ready(Ok(0)) => return Poll::Ready((len, SourceState::Ended)),
                Poll::Ready(Ok(read)) => len += read,
                Poll::Ready(Err(err)) => return Poll::Ready((len, SourceState::Failed(err))),
                Poll::Pending if len == 0 => return Poll::Pending,
                Poll::Pending => break,
            }
        }
        Poll::Ready((len, SourceState::Open))
    })
    .await
}
