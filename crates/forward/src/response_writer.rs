//! Writes responses to a caller.

use std::fmt::Write;
use std::io;
use std::time::Duration;

use async_std::future::timeout;
use async_std::io::WriteExt;
use async_std::net::TcpStream;
use framing::{request, response};
use route::{Denial, Failure};

use crate::Dialect;
use crate::attempt::BufferedResponse;
use crate::caller::Persistence;

/// Writes one response to a caller.
#[derive(Debug)]
pub(crate) struct ResponseWriter {
    writer: TcpStream,
    is_head: bool,
    persistence: Persistence,
    out: Vec<u8>,
    /// The status of the response, or 0 before its head is written to the buffer.
    pub(crate) status: u16,
    /// The name and value of the request id's header field, for responses that this host
    /// generates.
    pub(crate) request_id: Option<(&'static str, String)>,
}

/// A response without a body that this host generates itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LocalResponse {
    /// The HTTP status code.
    pub status: u16,
    /// The time after which the caller may retry.
    pub retry_after: Option<Duration>,
}

impl LocalResponse {
    pub(crate) fn of(status: u16) -> Self {
        Self {
            status,
            retry_after: None,
        }
    }
}

impl From<Denial> for LocalResponse {
    fn from(denial: Denial) -> Self {
        /// Applies while a host is starting, stopping or cut off from the endpoints. Short, since
        /// other hosts can serve the request now.
        const RETRY_DELAY: Duration = Duration::from_millis(200);
        /// Long enough for some requests to end; until then other hosts may serve this one.
        const MEMORY_RETRY_DELAY: Duration = Duration::from_secs(1);
        match denial {
            Denial::NotReady | Denial::Stopping | Denial::Unreachable => Self {
                status: 503,
                retry_after: Some(RETRY_DELAY),
            },
            Denial::Quarantined { retry_after, .. } => Self {
                status: 503,
                retry_after: Some(retry_after),
            },
            Denial::NoMemory => Self {
                status: 503,
                retry_after: Some(MEMORY_RETRY_DELAY),
            },
            Denial::NoRoute => Self::of(404),
            Denial::UnknownKey => Self::of(401),
            // Promises that the request hasn't run. It would be refused again, so there is no time
            // after which to retry.
            Denial::NamedModel => Self::of(421),
        }
    }
}

impl From<Failure> for LocalResponse {
    fn from(failure: Failure) -> Self {
        match failure {
            Failure::NotRun { retry_after } | Failure::Overloaded { retry_after, .. } => Self {
                status: 503,
                retry_after: Some(retry_after),
            },
            Failure::Lost | Failure::Passed => Self::of(502),
            Failure::Late => Self::of(504),
        }
    }
}

impl ResponseWriter {
    pub(crate) fn new(
        writer: TcpStream,
        request: Option<&request::Head>,
        persistence: Persistence,
    ) -> Self {
        Self {
            writer,
            is_head: request.is_some_and(|it| it.method == "HEAD"),
            persistence,
            out: Vec::new(),
            status: 0,
            request_id: None,
        }
    }

    /// Returns whether there are bytes to flush.
    pub(crate) fn has_pending(&self) -> bool {
        !self.out.is_empty()
    }

    /// Sends a response that this host generates. Write errors are ignored.
    pub(crate) async fn send_local(&mut self, local: LocalResponse) {
        self.start_head(local.status);
        if let Some((name, value)) = self.request_id.take() {
            self.push_field(name, value.as_bytes());
        }
        if let Some(after) = local.retry_after {
            let seconds = format!("{:.3}", after.as_secs_f64());
            self.push_field("Retry-After", seconds.as_bytes());
        }
        self.end_head(Some(0));
        let _ = self.flush().await;
    }

    /// Sends a complete response of an endpoint. Fails if the caller reads none of it for
    /// `write_timeout`: it would take memory for as long as the connection stays open.
    pub(crate) async fn send_buffered<D: Dialect>(
        &mut self,
        dialect: &D,
        whole: &BufferedResponse,
        write_timeout: Duration,
    ) -> io::Result<()> {
        const PIECE_BYTES: usize = 64 * 1024;
        let BufferedResponse { head, body, .. } = whole;
        self.copy_head(dialect, head);
        let length = match head.status {
            204 | 304 => None,
            // A response to a HEAD states the length that the response to a GET would have
            // (RFC 9110, section 8.6).
            _ if self.is_head => head.fields.number("content-length"),
            _ => Some(body.len() as u64),
        };
        self.end_head(length);
        if !self.is_head {
            self.out.extend_from_slice(body);
        }
        for piece in std::mem::take(&mut self.out).chunks(PIECE_BYTES) {
            let written = timeout(write_timeout, (&self.writer).write_all(piece)).await;
            written.map_err(|_| io::Error::from(io::ErrorKind::TimedOut))??;
        }
        Ok(())
    }

    /// Appends the head of a stream to the output buffer.
    pub(crate) fn start_stream<D: Dialect>(&mut self, dialect: &D, head: &response::Head) {
        self.copy_head(dialect, head);
        self.out
            .extend_from_slice(b"Transfer-Encoding: chunked\r\n");
        self.end_head(None);
    }

    /// Appends an event to the output buffer, as one chunk.
    pub(crate) fn push_event(&mut self, bytes: &[u8]) {
        let mut size = String::new();
        // Writing to a `String` can't fail.
        let _ = write!(size, "{:x}\r\n", bytes.len());
        self.out.extend_from_slice(size.as_bytes());
        self.out.extend_from_slice(bytes);
        self.out.extend_from_slice(b"\r\n");
    }

    /// Writes the last chunk of a stream.
    pub(crate) async fn finish_stream(&mut self) -> io::Result<()> {
        self.out.extend_from_slice(b"0\r\n\r\n");
        self.flush().await
    }

    pub(crate) async fn flush(&mut self) -> io::Result<()> {
        let out = std::mem::take(&mut self.out);
        if !out.is_empty() {
            (&self.writer).write_all(&out).await?;
        }
        self.out = out;
        self.out.clear();
        Ok(())
    }

    fn copy_head<D: Dialect>(&mut self, dialect: &D, head: &response::Head) {
        self.start_head(head.status);
        for (name, value) in head.fields.iter() {
            let is_framing = name.eq_ignore_ascii_case("content-length");
            if !is_framing && dialect.forwards_field(head, name) {
                self.push_field(name, value);
            }
        }
    }

    /// Starts the head. A second status line would reach the caller as part of the body of
    /// the first response.
    fn start_head(&mut self, status: u16) {
        debug_assert_eq!(self.status, 0, "a response has one status line");
        self.status = status;
        let line = format!("HTTP/1.1 {status} {}\r\n", reason_phrase(status));
        self.out.extend_from_slice(line.as_bytes());
    }

    fn push_field(&mut self, name: &str, value: &[u8]) {
        self.out.extend_from_slice(name.as_bytes());
        self.out.extend_from_slice(b": ");
        self.out.extend_from_slice(value);
        self.out.extend_from_slice(b"\r\n");
    }

    fn end_head(&mut self, length: Option<u64>) {
        if let Some(length) = length {
            self.push_field("Content-Length", length.to_string().as_bytes());
        }
        if self.persistence == Persistence::Close {
            self.push_field("Connection", b"close");
        }
        self.out.extend_from_slice(b"\r\n");
    }
}

fn reason_phrase(status: u16) -> &'static str {
    match status {
        200 => "OK",
        400 => "Bad Request",
        401 => "Unauthorized",
        404 => "Not Found",
        408 => "Request Timeout",
        413 => "Content Too Large",
        421 => "Misdirected Request",
        431 => "Request Header Fields Too Large",
        500 => "Internal Server Error",
        502 => "Bad Gateway",
        503 => "Service Unavailable",
        504 => "Gateway Timeout",
        505 => "HTTP Version Not Supported",
        _ => "Status",
    }
}
