//! Reading and checking of request heads.

use async_std::future::timeout;
use http_types::headers::{CONNECTION, CONTENT_LENGTH, EXPECT, HOST, TRANSFER_ENCODING};

use super::rejection::Rejection;
use super::request_body::RequestBody;
use super::shared::Shared;
use crate::conn::{Conn, HeadError, HeadPolicy};
use crate::h1;
use crate::{Body, Method, Request, Status};

/// The use of a connection after an exchange.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Next {
    Request,
    Close,
    /// Close without lingering: the peer is gone or must see that its response is incomplete, or
    /// the connection has already been shut down.
    Abort,
}

/// A received request, its method, and the use of the connection after it.
pub(super) struct Head {
    pub(super) request: Request,
    pub(super) method: Method,
    pub(super) next: Next,
}

/// Reads and checks a head. Returns `None` if the connection ended or failed first.
pub(super) async fn read(conn: &Conn, shared: &Shared) -> Result<Option<Head>, Rejection> {
    let limits = &shared.limits;
    let head = conn.read_head(limits.max_head, HeadPolicy::Strict);
    match timeout(limits.head_timeout, head).await {
        Ok(Ok(())) => {}
        Ok(Err(HeadError::Closed | HeadError::Broken(_))) => return Ok(None),
        Ok(Err(HeadError::TooLarge)) => {
            return Err(Rejection::new(
                Status::RequestHeaderFieldsTooLarge,
                "head too large",
            ));
        }
        Ok(Err(HeadError::Malformed)) => return Err(malformed("byte that no head may have")),
        Err(_) => {
            return Err(Rejection::new(
                Status::RequestTimeout,
                "head came too slowly",
            ));
        }
    }
    match async_h1::server::decode(conn.clone()).await {
        Ok(Some((request, _))) => check_and_convert(request, conn, shared).map(Some),
        Ok(None) => Ok(None),
        Err(_) => Err(malformed("not an HTTP/1.1 request")),
    }
}

/// Checks a decoded head, prepares `conn` for the body, and converts the request. Rejects ambiguous
/// framing, a missing or invalid host, and a stated length above the limit.
fn check_and_convert(
    mut decoded: http_types::Request,
    conn: &Conn,
    shared: &Shared,
) -> Result<Head, Rejection> {
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
        return Err(Rejection::new(Status::PayloadTooLarge, "body too large"));
    }
    conn.allow_body(len);
    if len != Some(0) && expects_continue(&decoded) {
        conn.expect_continue();
    }

    let method = decoded.method();
    let url = decoded.url();
    let target = match url.query() {
        Some(query) => format!("{}?{query}", url.path()),
        None => url.path().to_owned(),
    };
    let has_connection_close = decoded
        .header(CONNECTION)
        .is_some_and(|it| it.last().as_str().eq_ignore_ascii_case("close"));
    let mut request = Request::new(method, target);
    request.headers = h1::decode_headers(decoded.as_ref());
    if len != Some(0) {
        let body = decoded.take_body();
        let reader = RequestBody::new(
            body,
            conn.clone(),
            len,
            limits.max_body,
            limits.body_timeout,
        );
        request.body = Body::reader(reader, len);
    }
    // The library may have read and dropped bytes after a chunked body.
    let next = if has_connection_close || chunked {
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

fn expects_continue(decoded: &http_types::Request) -> bool {
    decoded
        .header(EXPECT)
        .is_some_and(|it| it.last().as_str().eq_ignore_ascii_case("100-continue"))
}

/// Returns whether a byte is allowed in a `Host` value.
///
/// The library concatenates host and path into a URL and parses that. A byte such as `/` or `?`
/// in the host would become part of the path and change the path that the handler sees.
fn is_host_byte(byte: u8) -> bool {
    byte.is_ascii_alphanumeric() || b"-._:[]~%".contains(&byte)
}

fn malformed(detail: &'static str) -> Rejection {
    Rejection::new(Status::BadRequest, detail)
}
