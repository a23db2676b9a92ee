//! One connection: its requests, one after the other.

use std::pin::pin;
use std::time::Duration;

use async_std::future::timeout;
use async_std::net::{Shutdown, TcpStream};
use futures::channel::oneshot;
use futures::future::{Either, select};
use futures::io::{AsyncReadExt, AsyncWriteExt};
use futures::pin_mut;
use http_types::headers::{CONNECTION, CONTENT_LENGTH, HOST, TRANSFER_ENCODING};
use serde::Serialize;

use super::incoming::Incoming;
use super::shared::Shared;
use super::watch::Watch;
use crate::conn::{Conn, Foreign, HeadError};
use crate::h1;
use crate::relay::relay;
use crate::{Body, Hangup, Method, Request, Response, Status};

/// How long, and for how many bytes, a refused peer is listened to. Closing at
/// once would reset the connection and could take the refusal with it.
const LINGER_TIME: Duration = Duration::from_secs(1);
const LINGER_BYTES: usize = 256 * 1024;

/// What becomes of the connection after an exchange.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Next {
    Request,
    Close,
    /// Close without ceremony: the peer is gone, or must see that its answer is cut.
    Abort,
}

/// A request in the form in which the connection goes on with it.
struct Head {
    request: Request,
    method: Method,
    next: Next,
}

struct Refusal {
    status: Status,
    detail: &'static str,
}

/// Serves the requests of one connection until it ends.
pub(super) async fn serve<H, F>(stream: TcpStream, shared: &Shared, handler: &H)
where
    H: Fn(Request) -> F,
    F: Future<Output = Response>,
{
    let conn = Conn::new(stream);
    while await_request(&conn, shared).await {
        let in_flight = shared.request();
        let next = match read_head(&conn, shared).await {
            Ok(Some(head)) => exchange(&conn, shared, handler, head).await,
            Ok(None) => Next::Abort,
            Err(refusal) => {
                let refusal = problem(refusal.status, refusal.detail);
                refuse(conn.stream(), shared, refusal).await;
                Next::Abort
            }
        };
        drop(in_flight);
        match next {
            Next::Request => {}
            Next::Close => return linger(conn.stream()).await,
            Next::Abort => return,
        }
    }
}

/// Waits for the first byte of the next request. A byte that is there wins
/// over the server's stop: its sender believes that it is served.
async fn await_request(conn: &Conn, shared: &Shared) -> bool {
    let first = timeout(shared.limits.idle_time, conn.first_byte());
    let stopped = shared.stopped();
    pin_mut!(first, stopped);
    matches!(select(first, stopped).await, Either::Left((Ok(Ok(())), _)))
}

async fn read_head(conn: &Conn, shared: &Shared) -> Result<Option<Head>, Refusal> {
    let limits = &shared.limits;
    let head = conn.head(limits.max_head, Foreign::Refuse);
    match timeout(limits.head_time, head).await {
        Ok(Ok(())) => {}
        Ok(Err(HeadError::Closed | HeadError::Broken(_))) => return Ok(None),
        Ok(Err(HeadError::TooLarge)) => {
            return Err(refusal(
                Status::RequestHeaderFieldsTooLarge,
                "head too large",
            ));
        }
        Ok(Err(HeadError::Malformed)) => return Err(malformed("byte that no head may have")),
        Err(_) => return Err(refusal(Status::RequestTimeout, "head came too slowly")),
    }
    match async_h1::server::decode(conn.clone()).await {
        Ok(Some((request, _))) => check(request, conn, shared).map(Some),
        Ok(None) => Ok(None),
        Err(_) => Err(malformed("not an HTTP/1.1 request")),
    }
}

/// Refuses what could be framed in two ways, and what is too large by its own word.
fn check(mut decoded: http_types::Request, conn: &Conn, shared: &Shared) -> Result<Head, Refusal> {
    let limits = &shared.limits;
    let chunked = match decoded.header(TRANSFER_ENCODING) {
        None => false,
        Some(it) if it.iter().count() == 1 && it.last().as_str() == "chunked" => true,
        Some(_) => return Err(malformed("transfer coding other than chunked")),
    };
    if decoded
        .header(CONTENT_LENGTH)
        .is_some_and(|it| it.iter().count() > 1 || !h1::is_number(it.last().as_str()))
    {
        return Err(malformed("not exactly one content-length"));
    }
    if decoded
        .header(HOST)
        .is_none_or(|it| it.iter().count() > 1 || !it.last().as_str().bytes().all(is_host_byte))
    {
        return Err(malformed("not exactly one host"));
    }
    let len = match decoded.len() {
        _ if chunked => None,
        len => Some(len.unwrap_or(0) as u64),
    };
    if len.is_some_and(|len| len > limits.max_body as u64) {
        return Err(refusal(Status::PayloadTooLarge, "body too large"));
    }
    conn.release_body(len);

    let method = decoded.method();
    let url = decoded.url();
    let target = match url.query() {
        Some(query) => format!("{}?{query}", url.path()),
        None => url.path().to_owned(),
    };
    let says_close = decoded
        .header(CONNECTION)
        .is_some_and(|it| it.last().as_str().eq_ignore_ascii_case("close"));
    let mut request = Request::new(method, target);
    request.headers = h1::decode_headers(decoded.as_ref());
    if len != Some(0) {
        let body = decoded.take_body();
        let incoming = Incoming::new(body, conn.clone(), len, limits.max_body, limits.body_time);
        request.body = Body::reader(incoming, len);
    }
    // The library may have read on past a chunked body and dropped what it read.
    let next = if says_close || chunked {
        Next::Close
    } else {
        Next::Request
    };
    Ok(Head {
        request,
        method,
        next,
    })
}

async fn exchange<H, F>(conn: &Conn, shared: &Shared, handler: &H, head: Head) -> Next
where
    H: Fn(Request) -> F,
    F: Future<Output = Response>,
{
    let Head {
        mut request,
        method,
        mut next,
    } = head;
    let (sender, hangup) = Hangup::new();
    let mut hung_up = Some(sender);
    request.hangup = hangup;
    let mut watch = Watch::new(conn);
    let mut work = pin!(handler(request));
    let response = if let Some(response) = watch.guard(work.as_mut()).await {
        response
    } else {
        tell(&mut hung_up);
        work.await
    };
    // What is left of the body would be read as the next request.
    if !conn.is_body_done() || shared.is_retiring() {
        next = Next::Close;
    }
    match write(&mut watch, conn, shared, response, method, next).await {
        Written::Whole => next,
        Written::Cut => {
            tell(&mut hung_up);
            Next::Abort
        }
    }
}

fn tell(hung_up: &mut Option<oneshot::Sender<()>>) {
    if let Some(sender) = hung_up.take() {
        // Nobody may be listening.
        let _ = sender.send(());
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Written {
    Whole,
    Cut,
}

/// Writes the answer unless the caller goes away first. The body is dropped
/// with it, and so its producer learns of it also when it has nothing to send.
async fn write(
    watch: &mut Watch<'_>,
    conn: &Conn,
    shared: &Shared,
    response: Response,
    method: Method,
    next: Next,
) -> Written {
    let mut message = h1::encode_response(response);
    if next == Next::Close {
        message.insert_header(CONNECTION, "close");
    }
    let mut encoder = async_h1::server::Encoder::new(message, method);
    let mut sent = 0;
    let written = relay(
        &mut encoder,
        conn.stream(),
        shared.limits.write_time,
        &mut sent,
    );
    match watch.guard(written).await {
        Some(Ok(())) => Written::Whole,
        Some(Err(_)) | None => Written::Cut,
    }
}

/// Writes a refusal and closes the connection.
pub(super) async fn refuse(stream: &TcpStream, shared: &Shared, response: Response) {
    let mut message = h1::encode_response(response);
    message.insert_header(CONNECTION, "close");
    let mut encoder = async_h1::server::Encoder::new(message, Method::Get);
    let mut sent = 0;
    let written = relay(&mut encoder, stream, shared.limits.write_time, &mut sent).await;
    if written.is_ok() {
        linger(stream).await;
    }
}

/// Closes the sending side and listens until the peer has closed too.
async fn linger(mut stream: &TcpStream) {
    if stream.flush().await.is_err() || stream.shutdown(Shutdown::Write).is_err() {
        return;
    }
    let discard = async {
        let mut buf = vec![0; 8 * 1024];
        let mut total = 0;
        while let Ok(got @ 1..) = stream.read(&mut buf).await {
            total += got;
            if total > LINGER_BYTES {
                return;
            }
        }
    };
    let _ = timeout(LINGER_TIME, discard).await;
}

/// The problem document of a request that never reached the handler.
pub(super) fn problem(status: Status, detail: &str) -> Response {
    #[derive(Serialize)]
    struct Problem<'a> {
        r#type: &'a str,
        title: &'a str,
        status: u16,
        detail: &'a str,
        reason: &'a str,
        run: &'a str,
    }
    let reason = match status {
        Status::PayloadTooLarge | Status::RequestHeaderFieldsTooLarge => "too_large",
        Status::ServiceUnavailable => "overloaded",
        _ => "bad_request",
    };
    Response::json(
        status,
        &Problem {
            r#type: "about:blank",
            title: status.canonical_reason(),
            status: status.into(),
            detail,
            reason,
            run: "not_run",
        },
    )
    .header("content-type", "application/problem+json")
}

/// The library joins host and path into one URL. Any other byte could move
/// the border between them, and the request to another path.
fn is_host_byte(byte: u8) -> bool {
    byte.is_ascii_alphanumeric() || b"-._:[]~%".contains(&byte)
}

fn refusal(status: Status, detail: &'static str) -> Refusal {
    Refusal { status, detail }
}

fn malformed(detail: &'static str) -> Refusal {
    refusal(Status::BadRequest, detail)
}
