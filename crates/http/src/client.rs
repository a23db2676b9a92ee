//! The client: requests to peers named by address, over pooled connections.

mod answer;
mod pool;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use async_std::future::timeout;
use async_std::net::TcpStream;
use kernel::Clock;

use crate::conn::{Conn, Foreign, HeadError, MAX_HEAD};
use crate::h1;
use crate::relay::{RelayError, relay};
use crate::{Body, Cause, Error, Request, Response};

use pool::Need;

pub(crate) use answer::Answer;
pub use pool::Pool;

/// Sends requests and keeps connections for the next ones. Clones share them.
#[derive(Clone)]
pub struct Client {
    idle: Arc<pool::Idle>,
}

/// What the caller grants to one request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Options {
    /// Time to open a connection, when no pooled one is fit.
    pub connect: Duration,
    /// Time from the request's last byte to the answer's first.
    pub first_byte: Duration,
    /// Time from the call to the last byte of the answer's body.
    pub total: Duration,
    /// Whether the request may reach its peer twice.
    pub repeat: Repeat,
}

/// Whether a request may reach its peer twice.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Repeat {
    /// It may: the second has no further effect.
    Idempotent,
    /// It may not.
    Never,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            connect: Duration::from_secs(1),
            first_byte: Duration::from_secs(10),
            total: Duration::from_secs(30),
            repeat: Repeat::Never,
        }
    }
}

impl Client {
    /// A client without connections.
    #[must_use]
    pub fn new(clock: Arc<dyn Clock>, pool: Pool) -> Self {
        Self {
            idle: Arc::new(pool::Idle::new(clock, pool)),
        }
    }

    /// Sends `request` to the peer at `to` and returns once the answer's head
    /// is there; its body is read as it comes.
    ///
    /// A pooled connection that turns out to be closed before any byte of an
    /// answer is replaced by a fresh one, when [`Options::repeat`] allows it and
    /// the body's bytes are all there. Any other request is written to a fresh
    /// connection or to one that was used less than [`Pool::warm`] ago.
    ///
    /// # Errors
    /// [`Error::NotSent`], [`Error::MaybeSent`] or [`Error::Cut`], precisely.
    pub async fn send(
        &self,
        to: SocketAddr,
        mut request: Request,
        options: &Options,
    ) -> Result<Response, Error> {
        let deadline = Instant::now() + options.total;
        let mut body = std::mem::take(&mut request.body);
        let need = match (options.repeat, body.try_clone()) {
            (Repeat::Idempotent, Some(_)) => Need::Open,
            _ => Need::Warm,
        };
        while let Some(conn) = self.idle.take(to, need).await {
            let spare = body.try_clone();
            let exchange = self.exchange(conn, to, &request, body, options, deadline);
            match (exchange.await, spare) {
                (Err(err), Some(spare)) if may_repeat(err, options.repeat) => body = spare,
                (result, _) => return result,
            }
        }
        let conn = connect(to, options.connect.min(left(deadline))).await?;
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
            // A peer may answer and close before it took the whole body: its
            // refusal says more than the broken connection.
            Err(Unwritten::Refused(err @ Error::MaybeSent(Cause::Closed))) => {
                let early = read_final_head(&conn, options.first_byte, deadline).await;
                early.map_err(|_| err)?
            }
            Err(Unwritten::Refused(err) | Unwritten::BrokeOff(err)) => return Err(err),
        };
        let idle = Arc::clone(&self.idle);
        answer::open(head, request.method, conn, deadline, move |conn| {
            idle.put(to, conn);
        })
    }
}

/// A connection that was closed in the pool shows as closed before any byte
/// of an answer. The request may have been acted on all the same.
fn may_repeat(err: Error, repeat: Repeat) -> bool {
    match err {
        Error::NotSent(Cause::Closed) => true,
        Error::MaybeSent(Cause::Closed) => repeat == Repeat::Idempotent,
        _ => false,
    }
}

async fn connect(to: SocketAddr, limit: Duration) -> Result<Conn, Error> {
    let stream = timeout(limit, TcpStream::connect(to))
        .await
        .map_err(|_| Error::NotSent(Cause::Timeout))?
        .map_err(|err| Error::NotSent((&err).into()))?;
    // Without it the kernel holds a short request back for the answer to the
    // one before. A failure costs time, not correctness.
    let _ = stream.set_nodelay(true);
    keep_alive(&stream);
    Ok(Conn::new(stream))
}

/// Has the kernel ask an idle peer whether it is there.
///
/// A connection can go silent for good without a reset. Who waits for a late
/// answer on it, as for news of a configuration, would wait out its time-out;
/// with probes the connection breaks after about three seconds.
fn keep_alive(stream: &TcpStream) {
    const PROBES: u32 = 2;
    const PAUSE: Duration = Duration::from_secs(1);
    let probes = socket2::TcpKeepalive::new()
        .with_time(PAUSE)
        .with_interval(PAUSE)
        .with_retries(PROBES);
    // Without them the time-outs still end the wait.
    let _ = socket2::SockRef::from(stream).set_tcp_keepalive(&probes);
}

/// Why a request wasn't written to its end.
enum Unwritten {
    /// The peer took no more of it.
    Refused(Error),
    /// Its own body broke off. The peer waits for the rest and can't answer.
    BrokeOff(Error),
}

async fn write(
    conn: &Conn,
    request: http_types::Request,
    deadline: Instant,
) -> Result<(), Unwritten> {
    let mut encoder = async_h1::client::Encoder::new(request);
    let mut sent = 0;
    let limit = left(deadline);
    let written = timeout(limit, relay(&mut encoder, conn.stream(), limit, &mut sent)).await;
    let error = |cause| match sent {
        0 => Error::NotSent(cause),
        _ => Error::MaybeSent(cause),
    };
    match written {
        Ok(Ok(())) => Ok(()),
        Ok(Err(RelayError::Source(err))) => Err(Unwritten::BrokeOff(error((&err).into()))),
        Ok(Err(RelayError::Sink(err))) => Err(Unwritten::Refused(error((&err).into()))),
        Err(_) => Err(Unwritten::Refused(error(Cause::Timeout))),
    }
}

/// Reads heads up to the first that isn't informational.
async fn read_final_head(
    conn: &Conn,
    first_byte: Duration,
    deadline: Instant,
) -> Result<http_types::Response, Error> {
    loop {
        let wait = first_byte.min(left(deadline));
        let head = read_head(conn, wait, deadline).await?;
        if !head.status().is_informational() {
            return Ok(head);
        }
    }
}

async fn read_head(
    conn: &Conn,
    wait: Duration,
    deadline: Instant,
) -> Result<http_types::Response, Error> {
    timeout(wait, conn.first_byte())
        .await
        .map_err(|_| Error::MaybeSent(Cause::Timeout))?
        .map_err(|err| Error::MaybeSent(err.into()))?;
    timeout(left(deadline), conn.head(MAX_HEAD, Foreign::Replace))
        .await
        .map_err(|_| Error::Cut(Cause::Timeout))?
        .map_err(|err| Error::Cut(err.into()))?;
    async_h1::client::decode(conn.clone())
        .await
        .map_err(|_| Error::Cut(Cause::Malformed))
}

fn left(deadline: Instant) -> Duration {
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
