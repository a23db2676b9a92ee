//! A connection and the bytes that were read from it ahead of their use.

use std::io;
use std::net::{Shutdown, SocketAddr};
use std::time::Duration;

use async_std::io::{ReadExt, WriteExt};
use async_std::net::TcpStream;
use futures::FutureExt;

/// How much is read at once. Most requests and answers fit.
const READ: usize = 8 * 1024;

/// A connection and the bytes that were read from it ahead of their use.
#[derive(Debug)]
pub(crate) struct Conn {
    stream: TcpStream,
    buf: Vec<u8>,
    start: usize,
}

impl Conn {
    pub(crate) fn new(stream: TcpStream) -> Self {
        // Without it the kernel holds a short answer back for the
        // acknowledgement of the one before. A failure costs time only.
        let _ = stream.set_nodelay(true);
        Self {
            stream,
            buf: Vec::new(),
            start: 0,
        }
    }

    pub(crate) async fn open(address: SocketAddr, limit: Duration) -> io::Result<Self> {
        let stream = async_std::future::timeout(limit, TcpStream::connect(address))
            .await
            .map_err(|_| io::Error::from(io::ErrorKind::TimedOut))??;
        Ok(Self::new(stream))
    }

    /// What has been read and not been consumed.
    pub(crate) fn unread(&self) -> &[u8] {
        &self.buf[self.start..]
    }

    /// Drops the first `len` unread bytes.
    pub(crate) fn consume(&mut self, len: usize) {
        self.start += len;
        if self.start >= self.buf.len() {
            self.buf.clear();
            self.start = 0;
            // An idle connection keeps no large buffer: there are thousands.
            if self.buf.capacity() > 4 * READ {
                self.buf = Vec::new();
            }
        }
    }

    /// Reads once; 0 is the end.
    pub(crate) async fn fill(&mut self) -> io::Result<usize> {
        if self.start > 0 {
            self.buf.drain(..self.start);
            self.start = 0;
        }
        let len = self.buf.len();
        self.buf.resize(len + READ, 0);
        let mut guard = Truncate {
            buf: &mut self.buf,
            len,
        };
        let read = (&self.stream).read(&mut guard.buf[len..]).await;
        if let Ok(read) = read {
            guard.len += read;
        }
        read
    }

    pub(crate) async fn write(&self, bytes: &[u8]) -> io::Result<()> {
        (&self.stream).write_all(bytes).await
    }

    /// The sending side, for use beside a read.
    pub(crate) fn writer(&self) -> TcpStream {
        self.stream.clone()
    }

    /// Whether nothing came, and no close either, since the last answer. What
    /// comes unasked belongs to no request, and a closed connection takes none.
    pub(crate) fn is_quiet(&mut self) -> bool {
        if !self.unread().is_empty() {
            return false;
        }
        let mut byte = [0];
        self.stream.peek(&mut byte).now_or_never().is_none()
    }

    /// Ends the sending side; the peer reads what was sent and then the end.
    pub(crate) fn end(&self) {
        // It fails only where the connection is gone already.
        let _ = self.stream.shutdown(Shutdown::Write);
    }
}

/// Cuts a buffer back to what was read, also when a read is given up.
struct Truncate<'a> {
    buf: &'a mut Vec<u8>,
    len: usize,
}

impl Drop for Truncate<'_> {
    fn drop(&mut self) {
        self.buf.truncate(self.len);
    }
}
