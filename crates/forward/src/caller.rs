//! Serves a caller's connection, one request after the other.

use std::iter;
use std::rc::Rc;
use std::time::Duration;

use async_std::future::timeout;
use framing::{Decoder, Length, request};
use futures::future::{Either, pending, select};
use futures::pin_mut;
use futures::stream::{FuturesUnordered, StreamExt};
use route::Denial;
use route::config::Limits;

use crate::buffers::Reservation;
use crate::conn::Conn;
use crate::response_writer::{LocalResponse, ResponseWriter};
use crate::serve::{deny, serve};
use crate::{Dialect, Node, Phase};

/// The number of pipelined bytes that are buffered while a request is served. Further
/// bytes stay in the socket.
const MAX_PIPELINED_BYTES: usize = 64 * 1024;
/// The longest time between two reads of a request body.
const BODY_READ_TIMEOUT: Duration = Duration::from_secs(3);

/// A complete request.
#[derive(Debug)]
pub(crate) struct Request {
    pub(crate) head: request::Head,
    pub(crate) body: Body,
    /// The time at which the head was complete.
    pub(crate) arrived: Duration,
}

/// The body of a request, with the memory that it takes.
#[derive(Debug, derive_more::Deref)]
pub(crate) struct Body {
    #[deref]
    bytes: Vec<u8>,
    reservation: Reservation,
}

/// The result of reading from a caller's connection.
enum Incoming {
    Request(Box<Request>),
    /// A request that violates a limit or the protocol, and the status of the response.
    Rejected(u16),
    /// A request whose body there is no memory for.
    NoMemory(Box<request::Head>),
    /// The connection was closed, failed, or was idle for too long.
    End,
}

/// Whether a connection stays open for another request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Persistence {
    KeepAlive,
    Close,
}

pub(crate) async fn serve_connection<D: Dialect>(node: &Rc<Node<D>>, mut conn: Conn) {
    loop {
        let limits = limits(node);
        let persistence = match read(node, &mut conn, &limits).await {
            Incoming::End => return,
            Incoming::Rejected(status) => {
                let mut response = ResponseWriter::new(conn.writer(), None, Persistence::Close);
                response.send_local(LocalResponse::of(status)).await;
                Persistence::Close
            }
            Incoming::NoMemory(head) => {
                let response = ResponseWriter::new(conn.writer(), Some(&head), Persistence::Close);
                deny(node, &head, Denial::NoMemory, response).await;
                Persistence::Close
            }
            Incoming::Request(request) => serve_request(node, &mut conn, *request).await,
        };
        if persistence == Persistence::Close {
            return linger(conn, node.timeouts.linger).await;
        }
    }
}

fn limits<D: Dialect>(node: &Node<D>) -> Limits {
    let router = node.router();
    router
        .config()
        .map_or_else(Limits::default, |it| it.limits.clone())
}

/// Serves a request, and cancels it if the caller disconnects.
async fn serve_request<D: Dialect>(
    node: &Rc<Node<D>>,
    conn: &mut Conn,
    request: Request,
) -> Persistence {
    let _active_request = node.track_request();
    let persistence = if request.head.keep_alive && node.phase() == Phase::Serving {
        Persistence::KeepAlive
    } else {
        Persistence::Close
    };
    let response = ResponseWriter::new(conn.writer(), Some(&request.head), persistence);
    let work = serve(node, &request, response);
    // `FuturesUnordered` polls the read only after its own wake-ups. A read without data
    // costs two system calls, and `work` is woken for each event of a stream.
    let mut closed: FuturesUnordered<_> = iter::once(closed(conn)).collect();
    pin_mut!(work);
    match select(work, closed.next()).await {
        Either::Left((Ok(()), _)) => persistence,
        // The caller has disconnected, or has a truncated response that must not look complete.
        Either::Left((Err(_), _)) | Either::Right(_) => Persistence::Close,
    }
}

/// Completes when the caller has closed the connection or it failed. Once
/// `MAX_PIPELINED_BYTES` are buffered, it stops reading and never completes.
async fn closed(conn: &mut Conn) {
    while conn.unread().len() < MAX_PIPELINED_BYTES {
        if !matches!(conn.fill().await, Ok(1..)) {
            return;
        }
    }
    pending::<()>().await;
}

async fn read<D: Dialect>(node: &Node<D>, conn: &mut Conn, limits: &Limits) -> Incoming {
    if conn.unread().is_empty() {
        match timeout(limits.idle_time, conn.fill()).await {
            Ok(Ok(1..)) => {}
            _ => return Incoming::End,
        }
    }
    let head = match timeout(limits.header_time, read_head(conn, limits.header_bytes)).await {
        Ok(Ok(head)) => head,
        Ok(Err(end)) => return end,
        Err(_) => return Incoming::Rejected(408),
    };
    let arrived = node.now();
    if head.fields.has_token("expect", "100-continue")
        && conn.write(b"HTTP/1.1 100 Continue\r\n\r\n").await.is_err()
    {
        return Incoming::End;
    }
    let mut body = Body {
        bytes: Vec::new(),
        reservation: node.buffers.reserve(),
    };
    match read_body(conn, head.length, limits.body_bytes, &mut body).await {
        Ok(()) => Incoming::Request(Box::new(Request {
            head,
            body,
            arrived,
        })),
        Err(BodyError::NoMemory) => Incoming::NoMemory(Box::new(head)),
        Err(BodyError::Rejected(status)) => Incoming::Rejected(status),
        Err(BodyError::End) => Incoming::End,
    }
}

async fn read_head(conn: &mut Conn, max: usize) -> Result<request::Head, Incoming> {
    loop {
        // Some clients send an extra CRLF after a request body (RFC 9112, section 2.2).
        while conn.unread().starts_with(b"\r\n") {
            conn.consume(2);
        }
        let unread = conn.unread();
        match framing::head_end(unread) {
            Some(end) if end > max => return Err(Incoming::Rejected(431)),
            Some(end) => {
                let head = request::Head::parse(&unread[..end]).map_err(|err| match err {
                    framing::Error::TooManyFields => Incoming::Rejected(431),
                    _ => Incoming::Rejected(400),
                })?;
                conn.consume(end);
                return Ok(head);
            }
            None if unread.len() > max => return Err(Incoming::Rejected(431)),
            None => {}
        }
        if !matches!(conn.fill().await, Ok(1..)) {
            return Err(Incoming::End);
        }
    }
}

/// The reason why a body wasn't read.
enum BodyError {
    /// It violates a limit or the protocol; the status of the response.
    Rejected(u16),
    /// There is no memory for it.
    NoMemory,
    /// The connection was closed or failed.
    End,
}

async fn read_body(
    conn: &mut Conn,
    length: Length,
    max: usize,
    body: &mut Body,
) -> Result<(), BodyError> {
    if let Length::Known(len) = length {
        let len = usize::try_from(len).unwrap_or(usize::MAX);
        if len > max {
            return Err(BodyError::Rejected(413));
        }
        if !body.reservation.try_hold(len) {
            return Err(BodyError::NoMemory);
        }
    }
    let mut decoder = Decoder::new(length);
    loop {
        let taken = decoder
            .decode(conn.unread(), &mut body.bytes)
            .map_err(|_| BodyError::Rejected(400))?;
        conn.consume(taken);
        if body.len() > max {
            return Err(BodyError::Rejected(413));
        }
        if !body.reservation.try_hold(body.bytes.len()) {
            return Err(BodyError::NoMemory);
        }
        if decoder.is_done() {
            return Ok(());
        }
        match timeout(BODY_READ_TIMEOUT, conn.fill()).await {
            Ok(Ok(1..)) => {}
            Ok(_) => return Err(BodyError::End),
            Err(_) => return Err(BodyError::Rejected(408)),
        }
    }
}

/// Closes the connection after reading what the caller still sends. Closing with unread
/// bytes resets the connection, and the caller may lose the response.
async fn linger(mut conn: Conn, limit: Duration) {
    conn.shutdown_write();
    let drain = async {
        while matches!(conn.fill().await, Ok(1..)) {
            let len = conn.unread().len();
            conn.consume(len);
        }
    };
    // The connection is closed in either case.
    let _ = timeout(limit, drain).await;
}
