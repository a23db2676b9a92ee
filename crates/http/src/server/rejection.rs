//! Rejection of requests that don't reach the handler, and lingering close.

use std::time::Duration;

use async_std::future::timeout;
use async_std::net::{Shutdown, TcpStream};
use futures::io::{AsyncReadExt, AsyncWriteExt};
use http_types::headers::CONNECTION;
use serde::Serialize;

use super::shared::Shared;
use crate::h1;
use crate::write::copy_to_stream;
use crate::{Method, Response, Status};

/// Limits on reading from a peer after the sending side was closed. Closing a connection with
/// unread bytes resets it, and the peer could lose the response.
const LINGER_TIMEOUT: Duration = Duration::from_secs(1);
const MAX_LINGER_BYTES: usize = 256 * 1024;

/// The status and detail of a response that rejects a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Rejection {
    status: Status,
    detail: &'static str,
}

impl Rejection {
    pub(super) fn new(status: Status, detail: &'static str) -> Self {
        Self { status, detail }
    }

    /// Returns the response with a problem document. `run` is `not_run`, since no handler saw
    /// the request.
    fn into_response(self) -> Response {
        let Self { status, detail } = self;
        let reason = match status {
            Status::PayloadTooLarge | Status::RequestHeaderFieldsTooLarge => "too_large",
            Status::ServiceUnavailable => "overloaded",
            _ => "bad_request",
        };
        let problem = Problem {
            r#type: "about:blank",
            title: status.canonical_reason(),
            status: status.into(),
            detail,
            reason,
            run: "not_run",
        };
        Response::json(status, &problem).header("content-type", "application/problem+json")
    }
}

#[derive(Serialize)]
struct Problem {
    r#type: &'static str,
    title: &'static str,
    status: u16,
    detail: &'static str,
    reason: &'static str,
    run: &'static str,
}

/// Writes a rejection, then lingers until the connection can be closed.
pub(super) async fn reject(stream: &TcpStream, shared: &Shared, rejection: Rejection) {
    let mut message = h1::encode_response(rejection.into_response());
    message.insert_header(CONNECTION, "close");
    let mut encoder = async_h1::server::Encoder::new(message, Method::Get);
    let mut sent = 0;
    let written =
        copy_to_stream(&mut encoder, stream, shared.limits.write_timeout, &mut sent).await;
    if written.is_ok() {
        linger(stream).await;
    }
}

/// Closes the sending side, and discards input until the peer closes too or a limit is reached.
pub(super) async fn linger(mut stream: &TcpStream) {
    if stream.flush().await.is_err() || stream.shutdown(Shutdown::Write).is_err() {
        return;
    }
    let discard = async {
        let mut buf = vec![0; 8 * 1024];
        let mut total = 0;
        while let Ok(got @ 1..) = stream.read(&mut buf).await {
            total += got;
            if total > MAX_LINGER_BYTES {
                return;
            }
        }
    };
    let _ = timeout(LINGER_TIMEOUT, discard).await;
}
