//! Conversions between this crate's types and those of `http-types`.

use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::task::{Context, Poll, ready};

use futures::io::{AsyncBufRead, AsyncRead};
use http_types::Url;

use crate::copy::poll_copy;
use crate::{Body, Headers, Method, Request, Response};

/// Fields that aren't copied to a message to send: they concern one connection or exchange, or this
/// crate sets them itself (`content-length`, `host`, `transfer-encoding`).
const NOT_COPIED: [&str; 12] = [
    "connection",
    "content-length",
    "expect",
    "host",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];

/// Converts `request`, with `body` in place of its own, for the peer at `to`. Returns `None` if the
/// target doesn't begin with `/` or can't be parsed.
pub(crate) fn encode_request(
    request: &Request,
    to: SocketAddr,
    body: Body,
) -> Option<http_types::Request> {
    if !request.target.starts_with('/') {
        return None;
    }
    let url = Url::parse(&format!("http://{to}{}", request.target)).ok()?;
    let mut encoded = http_types::Request::new(request.method, url);
    for (name, value) in copied_fields(&request.headers) {
        encoded.append_header(name, value);
    }
    if !body.is_empty() || states_empty_body(request.method) {
        encoded.set_body(encode_body(body));
    }
    Some(encoded)
}

pub(crate) fn encode_response(response: Response) -> http_types::Response {
    let mut encoded = http_types::Response::new(response.status);
    for (name, value) in copied_fields(&response.headers) {
        encoded.append_header(name, value);
    }
    if !response.body.is_empty() {
        encoded.set_body(encode_body(response.body));
    }
    encoded
}

pub(crate) fn decode_headers(headers: &http_types::Headers) -> Headers {
    headers
        .iter()
        .flat_map(|(name, values)| values.iter().map(move |value| (name, value)))
        .map(|(name, value)| (name.as_str().to_owned(), value.as_str()))
        .collect()
}

/// Returns whether `text` consists of one or more ASCII digits. Integer parsers also accept a sign,
/// which other HTTP implementations may read differently.
pub(crate) fn is_number(text: &str) -> bool {
    !text.is_empty() && text.bytes().all(|it| it.is_ascii_digit())
}

fn copied_fields(headers: &Headers) -> impl Iterator<Item = (&str, &str)> {
    headers
        .iter()
        .filter(|(name, _)| !NOT_COPIED.iter().any(|it| it.eq_ignore_ascii_case(name)))
}

/// Returns whether a request with this method gets a body, and so a length, even if it is empty.
fn states_empty_body(method: Method) -> bool {
    matches!(method, Method::Post | Method::Put | Method::Patch)
}

fn encode_body(body: Body) -> http_types::Body {
    let len = body.len();
    let reader = MinLength {
        body,
        remaining: len,
    };
    http_types::Body::from_reader(reader, len.and_then(|len| usize::try_from(len).ok()))
}

/// A body that fails if it ends before its stated length. The encoder would otherwise end the
/// message there and leave the peer waiting for the rest.
struct MinLength {
    body: Body,
    remaining: Option<u64>,
}

impl AsyncBufRead for MinLength {
    fn poll_fill_buf(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<&[u8]>> {
        let this = self.get_mut();
        let bytes = ready!(Pin::new(&mut this.body).poll_fill_buf(cx))?;
        if bytes.is_empty() && this.remaining.is_some_and(|remaining| remaining > 0) {
            return Poll::Ready(Err(io::ErrorKind::UnexpectedEof.into()));
        }
        Poll::Ready(Ok(bytes))
    }

    fn consume(mut self: Pin<&mut Self>, amt: usize) {
        if let Some(remaining) = &mut self.remaining {
            *remaining = remaining.saturating_sub(amt as u64);
        }
        Pin::new(&mut self.body).consume(amt);
    }
}

impl AsyncRead for MinLength {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        poll_copy(self, cx, buf)
    }
}
