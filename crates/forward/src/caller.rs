//! Serves a caller's connection, one request after the other.

use std::iter;
use std::rc::Rc;
use std::time::Duration;

use async_std::future::timeout;
use framing::{Decoder, Length, request};
use futures::future::{Either, pending, select};
use futures::pin_mut;
use futures::stream::{FuturesUnordered, StreamExt};
use route::config::Limits;

use crate::answer::{Answer, Notice};
use crate::conn::Conn;
use crate::serve::serve;
use crate::{Dialect, Node, Phase};

/// The number of pipelined bytes that are buffered while a request is served. Further
/// bytes stay in the socket.
const MAX_AHEAD: usize = 64 * 1024;
/// The longest time between two reads of a request body.
const BODY_PAUSE: Duration = Duration::from_secs(3);

/// A complete request.
#[derive(Debug)]
pub(crate) struct Request {
    pub(crate) head: request::Head,
    pub(crate) body: Vec<u8>,
    /// When the head was complete.
    pub(crate) arrived: Duration,
}

/// The result of reading from a caller's connection.
enum Incoming {
    Request(Box<Request>),
    /// A request that violates a limit or the protocol, and the status of the response.
    Rejected(u16),
    /// The caller closed the connection, or it was idle for too long.
    End,
}

/// Whether a connection stays open for another request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Keep {
    Open,
    Close,
}

pub(crate) async fn converse<D: Dialect>(node: &Rc<Node<D>>, mut conn: Conn) {
    loop {
        let limits = limits(node);
        let keep = match read(node, &mut conn, &limits).await {
            Incoming::End => return,
            Incoming::Rejected(status) => {
                let mut answer = Answer::new(conn.writer(), None, Keep::Close);
                answer.notice(Notice::of(status)).await;
                Keep::Close
            }
            Incoming::Request(request) => attend(node, &mut conn, *request).await,
        };
        if keep == Keep::Close {
            return linger(conn, node.timing.linger).await;
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
async fn attend<D: Dialect>(node: &Rc<Node<D>>, conn: &mut Conn, request: Request) -> Keep {
    let _busy = node.count_busy();
    let keep = if request.head.keep && node.phase() == Phase::Serving {
        Keep::Open
    } else {
        Keep::Close
    };
    let answer = Answer::new(conn.writer(), Some(&request.head), keep);
    let work = serve(node, &request, answer);
    // `FuturesUnordered` polls the read only after its own wake-ups. A read without data
    // costs two system calls, and `work` is woken for each event of a stream.
    let mut left: FuturesUnordered<_> = iter::once(left(conn)).collect();
    pin_mut!(work);
    match select(work, left.next()).await {
        Either::Left((Ok(()), _)) => keep,
        // The caller has disconnected, or has a truncated response that must not look complete.
        Either::Left((Err(_), _)) | Either::Right(_) => Keep::Close,
    }
}

/// Completes when the caller has closed the connection or it failed.
async fn left(conn: &mut Conn) {
    while conn.unread().len() < MAX_AHEAD {
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
    if head.fields.lists("expect", "100-continue")
        && conn.write(b"HTTP/1.1 100 Continue\r\n\r\n").await.is_err()
    {
        return Incoming::End;
    }
    match read_body(conn, head.length, limits.body_bytes).await {
        Ok(body) => Incoming::Request(Box::new(Request {
            head,
            body,
            arrived,
        })),
        Err(end) => end,
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
                    framing::Error::TooLarge => Incoming::Rejected(431),
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

async fn read_body(conn: &mut Conn, length: Length, max: usize) -> Result<Vec<u8>, Incoming> {
    if matches!(length, Length::Known(len) if len > max as u64) {
        return Err(Incoming::Rejected(413));
    }
    let mut decoder = Decoder::new(length);
    let mut body = Vec::new();
    loop {
        let taken = decoder
            .decode(conn.unread(), &mut body)
            .map_err(|_| Incoming::Rejected(400))?;
        conn.consume(taken);
        if body.len() > max {
            return Err(Incoming::Rejected(413));
        }
        if decoder.is_done() {
            return Ok(body);
        }
        match timeout(BODY_PAUSE, conn.fill()).await {
            Ok(Ok(1..)) => {}
            Ok(_) => return Err(Incoming::End),
            Err(_) => return Err(Incoming::Rejected(408)),
        }
    }
}

/// Closes the connection after reading what the caller still sends. Closing with unread
/// bytes resets the connection, and the caller may lose the response.
async fn linger(mut conn: Conn, limit: Duration) {
    conn.end();
    let drain = async {
        while matches!(conn.fill().await, Ok(1..)) {
            let len = conn.unread().len();
            conn.consume(len);
        }
    };
    // The connection is closed in either case.
    let _ = timeout(limit, drain).await;
}
