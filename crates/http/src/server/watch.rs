//! Detection of a disconnected caller while another future is awaited.

use std::pin::{Pin, pin};
use std::task::{Context, Poll};

use futures::Stream;
use futures::future::poll_fn;
use futures::stream::FuturesUnordered;

use crate::conn::Conn;

/// Watches a connection for a disconnect during an exchange.
///
/// The disconnect is detected with a peek at the socket, and each poll of that is a system call.
/// `FuturesUnordered` polls it only when the socket has woken it, not at each wake-up of the other
/// future. The peek is started when the other future is first pending.
pub(super) struct Watch<'a> {
    conn: &'a Conn,
    disconnect: FuturesUnordered<Pin<Box<dyn Future<Output = ()> + Send + 'a>>>,
    is_disconnected: bool,
}

impl<'a> Watch<'a> {
    pub(super) fn new(conn: &'a Conn) -> Self {
        Self {
            conn,
            disconnect: FuturesUnordered::new(),
            is_disconnected: false,
        }
    }

    /// Returns the output of `work`, or `None` if the caller disconnects first.
    pub(super) async fn until_disconnect<T>(&mut self, work: impl Future<Output = T>) -> Option<T> {
        let mut work = pin!(work);
        poll_fn(|cx| match work.as_mut().poll(cx) {
            Poll::Ready(result) => Poll::Ready(Some(result)),
            Poll::Pending => self.poll_disconnect(cx).map(|()| None),
        })
        .await
    }

    fn poll_disconnect(&mut self, cx: &mut Context<'_>) -> Poll<()> {
        if self.is_disconnected {
            return Poll::Ready(());
        }
        if self.disconnect.is_empty() {
            self.disconnect.push(Box::pin(self.conn.wait_closed()));
        }
        let polled = Pin::new(&mut self.disconnect).poll_next(cx).map(drop);
        self.is_disconnected = polled.is_ready();
        polled
    }
}
