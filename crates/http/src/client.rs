//! HTTP client that sends requests to peers by address, over pooled connections.

mod pool;
mod response_body;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use async_std::future::timeout;
use async_std::net::TcpStream;
use kernel::Clock;

use crate::conn::{Conn, HeadError, HeadPolicy, MAX_HEAD};
use crate::h1;
use crate::write::{CopyError, copy_to_stream};
use crate::{Body, Cause, Error, Request, Response, Status};

use pool::Reuse;

pub use pool::PoolLimits;
pub(crate) use response_body::ResponseBody;

/// Maximum number of interim responses before the final one. A peer that sends them without end
/// would keep a thread busy: a read that finds bytes never waits, so no timeout ends it.
const MAX_INTERIM_RESPONSES: usize = 100;

/// An HTTP client with a connection pool. Clones share the pool.
#[derive(Clone)]
pub struct Client {
    pool: Arc<pool::ConnPool>,
}

/// Timeouts and retry policy of one request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Options {
    /// Timeout of opening a connection, if no pooled one is usable.
    pub connect: Duration,
    /// Timeout from the end of sending the request to the first byte of the response. It applies
    /// anew after each interim response.
    pub first_byte: Duration,
    /// Timeout from the call to the last byte of the response's body.
    pub total: Duration,
    /// Whether the request may be sent again after it may have reached the peer.
    pub retry_policy: RetryPolicy,
}

/// Whether a request may be sent again after it may have reached the peer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryPolicy {
    /// It may, because running it twice has the same effect as running it once.
    Idempotent,
    /// It must reach the peer at most once.
    Never,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            connect: Duration::from_secs(1),
            first_byte: Duration::from_secs(10),
            total: Duration::from_secs(30),
            retry_policy: RetryPolicy::Never,
        }
    }
}

impl Client {
    /// Creates a client with an empty connection pool.
    #[must_use]
    pub fn new(clock: Arc<dyn Clock>, limits: PoolLimits) -> Self {
        Self {
            pool: Arc::new(pool::ConnPool::new(clock, limits)),
        }
    }

    /// Sends `request` to the peer at `to` and returns as soon as the response's head has been
    /// received; the body is streamed.
    ///
    /// If a pooled connection turns out to be closed, the request is sent again on another one,
    /// provided that its body is in memory, and that either none of its bytes were sent, or the
    /// failure is [`Error::MaybeSent`] and [`Options::retry_policy`] is
    /// [`RetryPolicy::Idempotent`]. Requests that aren't idempotent, or whose body isn't in memory,
    /// use a new connection, or one that was used less than
    /// [`PoolLimits::max_idle_time_at_most_once`] ago.
    ///
    /// # Errors
    /// [`Error::NotSent`], [`Error::MaybeSent`] or [`Error::Cut`], depending on how far the
    /// exchange got.
    pub async fn send(
        &self,
        to: SocketAddr,
        mut request: Request,
        options: &Options,
    ) -> Result<Response, Error> {
        let deadline = Instant::now() + options.total;
        let mut body = std::mem::take(&mut request.body);
        let reuse = match (options.retry_policy, body.try_clone()) {
            (RetryPolicy::Idempotent, Some(_)) => Reuse::AnyOpen,
            _ => Reuse::Recent,
        };
        while let Some(conn) = self.pool.take(to, reuse).await {
            let copy = body.try_clone();
            let exchange = self.exchange(conn, to, &request, body, options, deadline);
            match (exchange.await, copy) {
                (Err(err), Some(copy)) if may_retry(err, options.retry_policy) => body = copy,
                (result, _) => return result,
            }
        }
        let conn = connect(to, options.connect.min(time_left(deadline))).await?;
        self.exchange(conn, to, &request, body, options, deadline)
            .await
    }

    async fn exchange(
        &self,
        conn: Conn,
        to: SocketAddr,
        request: &Request,
        body: Body,
        options: &Options,
        deadline: Instant,
    ) -> Result<Response, Error> {
        let encoded =
            h1::encode_request(request, to, body).ok_or(Error::NotSent(Cause::Malformed))?;
        let head = match write(&conn, encoded, deadline).await {
            Ok(()) => read_final_head(&conn, options.first_byte, deadline).await?,
            // A peer may reject the request and close before it has read the whole body. Its
            // response, if there is one, is more useful than the write error.
            Err(WriteError::Connection(err @ Error::MaybeSent(Cause::Closed))) => {
                let early_head = read_final_head(&conn, options.first_byte, deadline).await;
                let early_head = early_head.map_err(|_| err)?;
                // The write has reported the reset. To the reader of the body, the connection now
                // ends in order, and a part of a body would look like all of it.
                if response_body::ends_with_connection(&early_head, request.method) {
                    return Err(err);
                }
                early_head
            }
            Err(WriteError::Connection(err) | WriteError::Body(err)) => return Err(err),
        };
        let pool = Arc::clone(&self.pool);
        response_body::build_response(head, request.method, conn, deadline, move |conn| {
            pool.put(to, conn);
        })
    }
}

/// Returns whether a request that failed on a pooled connection may be sent on another one.
///
/// Only a failure with [`Cause::Closed`] is retried, since the peer may have closed the connection
/// while it was idle. If bytes were sent, the peer may have acted on them, so the request must be
/// idempotent.
fn may_retry(err: Error, retry_policy: RetryPolicy) -> bool {
    match err {
        Error::NotSent(Cause::Closed) => true,
        Error::MaybeSent(Cause::Closed) => retry_policy == RetryPolicy::Idempotent,
        _ => false,
    }
}

async fn connect(to: SocketAddr, limit: Duration) -> Result<Conn, Error> {
    let stream = timeout(limit, TcpStream::connect(to))
        .await
        .map_err(|_| Error::NotSent(Cause::Timeout))?
        .map_err(|err| Error::NotSent((&err).into()))?;
    // Disables Nagle's algorithm, which delays small writes. Failing to do so only costs time.
    let _ = stream.set_nodelay(true);
    enable_keepalive(&stream);
    Ok(Conn::new(stream))
}

/// Enables TCP keep-alive probes.
///
/// If a peer's host fails without a reset, a long poll would wait for its whole timeout. With
/// probes, the connection fails after about three seconds.
fn enable_keepalive(stream: &TcpStream) {
    const PROBES: u32 = 2;
    const INTERVAL: Duration = Duration::from_secs(1);
    let probes = socket2::TcpKeepalive::new()
        .with_time(INTERVAL)
        .with_interval(INTERVAL)
        .with_retries(PROBES);
    // If this fails, the timeouts still end the wait.
    let _ = socket2::SockRef::from(stream).set_tcp_keepalive(&probes);
}

/// An error that occurred while a request was being written.
enum WriteError {
    /// The connection failed, or the write timed out.
    Connection(Error),
    /// The request's body failed. The peer waits for the rest and doesn't respond.
    Body(Error),
}

async fn write(
    conn: &Conn,
    request: http_types::Request,
    deadline: Instant,
) -> Result<(), WriteError> {
    let mut encoder = async_h1::client::Encoder::new(request);
    let mut sent = 0;
    let limit = time_left(deadline);
    let written = timeout(
        limit,
        copy_to_stream(&mut encoder, conn.stream(), limit, &mut sent),
    )
    .await;
    let error = |cause| match sent {
        0 => Error::NotSent(cause),
        _ => Error::MaybeSent(cause),
    };
    match written {
        Ok(Ok(())) => Ok(()),
        Ok(Err(CopyError::Source(err))) => Err(WriteError::Body(error((&err).into()))),
        Ok(Err(CopyError::Sink(err))) => Err(WriteError::Connection(error((&err).into()))),
        Err(_) => Err(WriteError::Connection(error(Cause::Timeout))),
    }
}

/// Reads the head of the final response, skipping interim (1xx) ones.
async fn read_final_head(
    conn: &Conn,
    first_byte: Duration,
    deadline: Instant,
) -> Result<http_types::Response, Error> {
    for _ in 0..=MAX_INTERIM_RESPONSES {
        let wait = first_byte.min(time_left(deadline));
        let head = read_head(conn, wait, deadline).await?;
        match head.status() {
            // The client never asks for another protocol.
            Status::SwitchingProtocols => break,
            status if status.is_informational() => {}
            _ => return Ok(head),
        }
    }
    Err(Error::Cut(Cause::Malformed))
}

async fn read_head(
    conn: &Conn,
    wait: Duration,
    deadline: Instant,
) -> Result<http_types::Response, Error> {
    timeout(wait, conn.wait_first_byte())
        .await
        .map_err(|_| Error::MaybeSent(Cause::Timeout))?
        .map_err(|err| Error::MaybeSent(err.into()))?;
    timeout(
        time_left(deadline),
        conn.read_head(MAX_HEAD, HeadPolicy::Lenient),
    )
    .await
    .map_err(|_| Error::Cut(Cause::Timeout))?
    .map_err(|err| Error::Cut(err.into()))?;
    async_h1::client::decode(conn.clone())
        .await
        .map_err(|_| Error::Cut(Cause::Malformed))
}

fn time_left(deadline: Instant) -> Duration {
    deadline.saturating_duration_since(Instant::now())
}

impl From<HeadError> for Cause {
    fn from(err: HeadError) -> Self {
        match err {
            HeadError::Closed => Self::Closed,
            HeadError::Broken(kind) => Self::from(&std::io::Error::from(kind)),
            HeadError::TooLarge | HeadError::Malformed => Self::Malformed,
        }
    }
}
