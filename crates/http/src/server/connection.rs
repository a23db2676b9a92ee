//! Serving the requests of one connection.

use std::pin::pin;
use std::time::Instant;

use async_std::future::timeout;
use async_std::net::TcpStream;
use async_std::task::sleep;
use futures::channel::oneshot;
use futures::future::{Either, select};
use futures::pin_mut;
use http_types::headers::CONNECTION;

use super::head::{self, Head, Next};
use super::rejection::{linger, reject};
use super::shared::Shared;
use super::watch::Watch;
use crate::conn::Conn;
use crate::h1;
use crate::write::copy_to_stream;
use crate::{Disconnect, Method, Request, Response};

/// Serves the requests of a connection, one after the other, until it closes.
pub(super) async fn serve<H, F>(stream: TcpStream, shared: &Shared, handler: &H)
where
    H: Fn(Request) -> F,
    F: Future<Output = Response>,
{
    let conn = Conn::new(stream);
    while await_request(&conn, shared).await {
        let in_flight = shared.count_request();
        let next = match head::read(&conn, shared).await {
            Ok(Some(head)) => exchange(&conn, shared, handler, head).await,
            Ok(None) => Next::Abort,
            Err(rejection) => {
                reject(conn.stream(), shared, rejection).await;
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

/// Waits for the first byte of the next request. Returns false if the connection is to be closed.
/// A byte that has already arrived takes precedence over the shutdown of the server.
///
/// A caller that has just connected, or has just received a response on a kept connection, may
/// already have sent a request. If the connection were closed at once, the caller couldn't tell
/// whether the request ran. The connection therefore stays open for the minimum open time,
/// counted from the start of the wait; a connection that has been idle for longer closes at once
/// when the server stops.
async fn await_request(conn: &Conn, shared: &Shared) -> bool {
    let since = Instant::now();
    let first = timeout(shared.limits.idle_timeout, conn.wait_first_byte());
    let stop = async {
        shared.wait_stopped().await;
        sleep(shared.limits.min_open_time.saturating_sub(since.elapsed())).await;
    };
    pin_mut!(first, stop);
    matches!(select(first, stop).await, Either::Left((Ok(Ok(())), _)))
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
    let (sender, disconnect) = Disconnect::new();
    let mut disconnect_sender = Some(sender);
    request.disconnect = disconnect;
    let mut watch = Watch::new(conn);
    let mut handling = pin!(handler(request));
    let response = if let Some(response) = watch.until_disconnect(handling.as_mut()).await {
        response
    } else {
        notify_disconnect(&mut disconnect_sender);
        handling.await
    };
    // An unread rest of the body would be parsed as the next request. During a drain, callers are
    // asked to close their connections.
    if !conn.is_body_done() || shared.is_draining() {
        next = Next::Close;
    }
    match write(&mut watch, conn, shared, response, method, next).await {
        Written::Complete => next,
        Written::Incomplete => {
            notify_disconnect(&mut disconnect_sender);
            Next::Abort
        }
    }
}

fn notify_disconnect(disconnect_sender: &mut Option<oneshot::Sender<()>>) {
    if let Some(sender) = disconnect_sender.take() {
        // Fails if all receivers have been dropped.
        let _ = sender.send(());
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Written {
    Complete,
    Incomplete,
}

/// Writes the response, unless the caller disconnects first. In that case the body is dropped, so
/// that `send` fails for its producer.
async fn write(
    watch: &mut Watch<'_>,
    conn: &Conn,
    shared: &Shared,
    response: Response,
    method: Method,
    next: Next,
) -> Written {
    if !conn.begin_response() {
        return Written::Incomplete;
    }
    let mut message = h1::encode_response(response);
    if next == Next::Close {
        message.insert_header(CONNECTION, "close");
    }
    let mut encoder = async_h1::server::Encoder::new(message, method);
    let mut sent = 0;
    let written = copy_to_stream(
        &mut encoder,
        conn.stream(),
        shared.limits.write_timeout,
        &mut sent,
    );
    match watch.until_disconnect(written).await {
        Some(Ok(())) => Written::Complete,
        Some(Err(_)) | None => Written::Incomplete,
    }
}
