//! Response bodies, and the return of their connections to the pool.

use std::io;
use std::pin::Pin;
use std::task::{Context, Poll, ready};
use std::time::Instant;

use futures::io::{AsyncBufRead, AsyncRead, BufReader};
use http_types::headers::{CONNECTION, CONTENT_LENGTH, TRANSFER_ENCODING};

use crate::conn::Conn;
use crate::copy::poll_copy;
use crate::deadline::Deadline;
use crate::h1;
use crate::{Body, Cause, Error, Method, Response, Status};

type ReturnConn = Box<dyn FnOnce(Conn) + Send + Sync>;

/// The length of a response's body, as its framing determines it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Length {
    Known(u64),
    Chunked,
    UntilClose,
}

/// Creates a response from a decoded head. `return_conn` is called with the connection if the peer
/// keeps it open: once the body has been read to its end and dropped, or at once if it is empty.
pub(super) fn build_response(
    mut head: http_types::Response,
    method: Method,
    conn: Conn,
    deadline: Instant,
    return_conn: impl FnOnce(Conn) + Send + Sync + 'static,
) -> Result<Response, Error> {
    let length = length(&head, method).ok_or(Error::Cut(Cause::Malformed))?;
    let keep_alive = length != Length::UntilClose && !has_connection_close(&head);
    let mut response = Response::new(head.status());
    response.headers = h1::decode_headers(head.as_ref());
    if length == Length::Known(0) {
        if keep_alive {
            return_conn(conn);
        }
        return Ok(response);
    }
    let (len, reader): (_, Box<dyn AsyncBufRead + Send + Sync + Unpin>) = match length {
        Length::Known(len) => (Some(len), Box::new(head.take_body())),
        Length::Chunked => (None, Box::new(head.take_body())),
        Length::UntilClose => (None, Box::new(BufReader::new(conn.clone()))),
    };
    conn.allow_body(len);
    let return_conn = keep_alive.then(|| Box::new(return_conn) as ReturnConn);
    let body = ResponseBody {
        reader,
        remaining: len,
        has_ended: false,
        conn,
        return_conn,
        deadline: Deadline::new(deadline),
    };
    response.body = Body::from_response(body, len);
    Ok(response)
}

/// Returns whether only the end of the connection shows the end of the body.
pub(super) fn ends_with_connection(head: &http_types::Response, method: Method) -> bool {
    length(head, method) == Some(Length::UntilClose)
}

/// Returns the length of a body, or `None` if the head is invalid or has an unsupported transfer
/// coding.
///
/// The library treats a response without a length as empty, although its body ends with the
/// connection.
fn length(head: &http_types::Response, method: Method) -> Option<Length> {
    let status = head.status();
    if method == Method::Head || matches!(status, Status::NoContent | Status::NotModified) {
        return Some(Length::Known(0));
    }
    if let Some(codings) = head.header(TRANSFER_ENCODING) {
        return (codings.last().as_str() == "chunked").then_some(Length::Chunked);
    }
    match head.header(CONTENT_LENGTH) {
        Some(len) if !h1::is_number(len.last().as_str()) => None,
        Some(len) => len.last().as_str().parse().ok().map(Length::Known),
        None => Some(Length::UntilClose),
    }
}

fn has_connection_close(head: &http_types::Response) -> bool {
    head.header(CONNECTION)
        .is_some_and(|it| it.last().as_str().eq_ignore_ascii_case("close"))
}

/// The body of a response while it is read.
///
/// It owns the connection until it is dropped, because the caller may find only after reading the
/// whole body that it belongs to another request.
pub(crate) struct ResponseBody {
    reader: Box<dyn AsyncBufRead + Send + Sync + Unpin>,
    remaining: Option<u64>,
    has_ended: bool,
    conn: Conn,
    /// Called with the connection on drop, if the body has been read to its end.
    return_conn: Option<ReturnConn>,
    deadline: Deadline,
}

impl ResponseBody {
    /// Prevents the connection from being reused, so that it is closed.
    pub(crate) fn discard_connection(&mut self) {
        self.return_conn = None;
    }

    fn poll_ready(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        if self.remaining == Some(0) || self.has_ended {
            self.has_ended = true;
            return Poll::Ready(Ok(()));
        }
        self.deadline.check()?;
        if let Poll::Ready(bytes) = Pin::new(&mut self.reader).poll_fill_buf(cx) {
            if !bytes?.is_empty() {
                return Poll::Ready(Ok(()));
            }
            // In a body with a length, the library treats a closed connection as the end.
            if self.remaining.is_some() {
                return Poll::Ready(Err(io::ErrorKind::UnexpectedEof.into()));
            }
            self.has_ended = true;
            return Poll::Ready(Ok(()));
        }
        self.conn.wake_if_not_registered(cx);
        self.deadline.poll(cx)
    }
}

impl Drop for ResponseBody {
    fn drop(&mut self) {
        if let Some(return_conn) = self.return_conn.take_if(|_| self.has_ended) {
            return_conn(self.conn.clone());
        }
    }
}

impl AsyncBufRead for ResponseBody {
    fn poll_fill_buf(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<&[u8]>> {
        let this = self.get_mut();
        ready!(this.poll_ready(cx))?;
        if this.has_ended {
            return Poll::Ready(Ok(&[]));
        }
        Pin::new(&mut this.reader).poll_fill_buf(cx)
    }

    fn consume(mut self: Pin<&mut Self>, amt: usize) {
        if let Some(remaining) = &mut self.remaining {
            *remaining = remaining.saturating_sub(amt as u64);
        }
        Pin::new(&mut self.reader).consume(amt);
    }
}

impl AsyncRead for ResponseBody {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        poll_copy(self, cx, buf)
    }
}
