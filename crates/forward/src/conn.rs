//! A TCP connection with a read buffer.

use std::io;
use std::net::{Shutdown, SocketAddr};
use std::time::Duration;

use async_std::io::{ReadExt, WriteExt};
use async_std::net::TcpStream;
use async_std::task;
use futures::FutureExt;
use socket2::SockRef;

use crate::Connector;
use crate::connections::Lease;

/// The size of one read in bytes. Most requests and responses fit.
const READ_SIZE: usize = 8 * 1024;

/// The bytes that are read before other tasks get a turn. A read that finds bytes doesn't wait, so
/// a peer that sends faster than its bytes are handled would keep the host's only thread busy, and
/// no timeout would be noticed.
const MAX_TURN_BYTES: usize = 64 * 1024;

/// A TCP connection with a read buffer.
pub(crate) struct Conn {
    stream: TcpStream,
    buf: Vec<u8>,
    start: usize,
    /// The bytes that were read since other tasks had a turn.
    turn_bytes: usize,
    /// Counts the connection if it is to an endpoint.
    lease: Option<Lease>,
}

impl Conn {
    pub(crate) fn new(stream: TcpStream) -> Self {
        // Without `TCP_NODELAY` the kernel delays a short write until the previous one is
        // acknowledged. A failure to set it only costs latency.
        let _ = stream.set_nodelay(true);
        Self {
            stream,
            buf: Vec::new(),
            start: 0,
            turn_bytes: 0,
            lease: None,
        }
    }

    pub(crate) async fn open(
        connector: &dyn Connector,
        address: SocketAddr,
        limit: Duration,
    ) -> io::Result<Self> {
        let stream = async_std::future::timeout(limit, connector.connect(address))
            .await
            .map_err(|_| io::Error::from(io::ErrorKind::TimedOut))??;
        Ok(Self::new(stream))
    }

    /// Counts the connection until it is closed.
    pub(crate) fn with_lease(self, lease: Lease) -> Self {
        let lease = Some(lease);
        Self { lease, ..self }
    }

    pub(crate) fn lease(&self) -> Option<&Lease> {
        self.lease.as_ref()
    }

    /// Closes the connection, and returns the lease for another one.
    pub(crate) fn into_lease(self) -> Option<Lease> {
        self.lease
    }

    /// Returns the bytes that were read and not yet consumed.
    pub(crate) fn unread(&self) -> &[u8] {
        &self.buf[self.start..]
    }

    /// Drops the first `len` unread bytes.
    pub(crate) fn consume(&mut self, len: usize) {
        self.start += len;
        if self.start >= self.buf.len() {
            self.buf.clear();
            self.start = 0;
            // Frees large buffers, since there may be thousands of idle connections.
            if self.buf.capacity() > 4 * READ_SIZE {
                self.buf = Vec::new();
            }
        }
    }

    /// Reads once into the buffer and returns the number of bytes, 0 at the end of the stream.
    pub(crate) async fn fill(&mut self) -> io::Result<usize> {
        if self.turn_bytes >= MAX_TURN_BYTES {
            self.turn_bytes = 0;
            task::yield_now().await;
        }
        if self.start > 0 {
            self.buf.drain(..self.start);
            self.start = 0;
        }
        let len = self.buf.len();
        self.buf.resize(len + READ_SIZE, 0);
        let mut guard = TruncateOnDrop {
            buf: &mut self.buf,
            len,
        };
        let read = (&self.stream).read(&mut guard.buf[len..]).await;
        if let Ok(read) = read {
            guard.len += read;
            self.turn_bytes += read;
        }
        read
    }

    pub(crate) async fn write(&self, bytes: &[u8]) -> io::Result<()> {
        (&self.stream).write_all(bytes).await
    }

    /// Returns a handle for writing while a read is pending.
    pub(crate) fn writer(&self) -> TcpStream {
        self.stream.clone()
    }

    /// Returns whether the peer has sent neither data nor a close since the last response.
    /// Unexpected data belongs to no request, and a closed connection can't be reused.
    pub(crate) fn is_reusable(&mut self) -> bool {
        if !self.unread().is_empty() {
            return false;
        }
        let mut byte = [0];
        self.stream.peek(&mut byte).now_or_never().is_none()
    }

    /// Returns whether the peer closes or resets the connection, or sends data that belongs to no
    /// request, within `limit`. Returns as soon as it does.
    pub(crate) async fn is_unusable_within(&self, limit: Duration) -> bool {
        let mut byte = [0];
        let event = self.stream.peek(&mut byte);
        async_std::future::timeout(limit, event).await.is_ok()
    }

    /// Fails if the peer has reset the connection after it ended its data, which no read reports.
    pub(crate) fn check_not_reset(&self) -> io::Result<()> {
        SockRef::from(&self.stream)
            .take_error()?
            .map_or(Ok(()), Err)
    }

    /// Shuts down the write half; the peer reads the rest of the data and then the end.
    pub(crate) fn shutdown_write(&self) {
        // It fails only if the connection is already closed.
        let _ = self.stream.shutdown(Shutdown::Write);
    }
}

/// Truncates a buffer to the bytes that were read, also when the read is cancelled.
struct TruncateOnDrop<'a> {
    buf: &'a mut Vec<u8>,
    len: usize,
}

impl Drop for TruncateOnDrop<'_> {
    fn drop(&mut self) {
        self.buf.truncate(self.len);
    }
}
