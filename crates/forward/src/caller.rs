//! A caller's connection: one request after the other.

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

/// What a caller may send ahead while its request is worked on, in bytes. It
/// stays in the caller's socket beyond that.
const MAX_AHEAD: usize = 64 * 1024;
/// How long the rest of a body may stay away.
const BODY_PAUSE: Duration = Duration::from_secs(3);

/// A request, whole.
#[derive(Debug)]
pub(crate) struct Request {
    pub(crate) head: request::Head,
    pub(crate) body: Vec<u8>,
    /// When its head was there.
    pub(crate) arrived: Duration,
}

/// What comes on a connection.
enum Incoming {
    Request(Box<Request>),
    /// What breaks a limit or the protocol, and the status to say so.
    Rejected(u16),
    /// The caller closed, or stayed idle for too long.
    End,
}

/// Whether a connection takes another request.
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

/// Serves a request unless its caller leaves meanwhile.
async fn attend<D: Dialect>(node: &Rc<Node<D>>, conn: &mut Conn, request: Request) -> Keep {
    let _busy = node.count_busy();
    let keep = if request.head.keep && node.phase() == Phase::Serving {
        Keep::Open
    } else {
        Keep::Close
    };
    let answer = Answer::new(conn.writer(), Some(&request.head), keep);
    let work = serve(node, &request, answer);
    // Polled by its own wake-ups only: a read that finds nothing costs two
    // system calls, and the work wakes up for each event of a stream.
    let mut left: FuturesUnordered<_> = iter::once(left(conn)).collect();
    pin_mut!(work);
    match select(work, left.next()).await {
        Either::Left((Ok(()), _)) => keep,
        // A caller that left needs no answer, and what was cut must not look whole.
        Either::Left((Err(_), _)) | Either::Right(_) => Keep::Close,
    }
}

/// Completes when the caller closed its side or the connection broke.
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
        // An empty line before a request is left over from the one before.
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

/// Closes without losing the answer: closing with unread bytes resets the
/// connection, and the caller may then never read what was sent.
async fn linger(mut conn: Conn, limit: Duration) {
    conn.end();
    let drain = async {
        while matches!(conn.fill().await, Ok(1..)) {
            let len = conn.unread().len();
            conn.consume(len);
        }
    };
    // The caller has had its time either way.
    let _ = timeout(limit, drain).await;
}
