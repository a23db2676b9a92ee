//! A connection to an endpoint with a request in progress.

use std::io;

use async_std::io::WriteExt;
use framing::{Decoder, Length, response};
use futures::future::{Either, select};
use futures::pin_mut;
use route::{Ending, Permit};

use crate::attempt::BufferedResponse;
use crate::conn::Conn;

/// The longest head of a response.
const MAX_HEAD_BYTES: usize = 64 * 1024;
/// The most bytes before the end of a response's head: informational and stray responses. An
/// endpoint that sends them without end would keep this host's only thread busy.
const MAX_SKIPPED_BYTES: usize = 1024 * 1024;

/// A connection to an endpoint with a request in progress.
///
/// The request is written while the response is read, since an endpoint may respond before
/// it has received the complete request.
pub(crate) struct Upstream {
    conn: Conn,
    request: Vec<u8>,
    sent: usize,
    /// The number of stray responses: responses to other requests.
    strays: u32,
    /// The decoder of the stray response that is being skipped.
    ///
    /// It belongs to the connection, not to the future that waits for a head: that future may time
    /// out in the middle of the body, and the next one would look for a head in the rest of the
    /// body and lose the valid response that follows.
    stray: Option<Decoder>,
    /// The bytes of heads and stray responses so far.
    skipped: usize,
}

/// An error in the exchange with an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum UpstreamError {
    /// An I/O error occurred before any byte of the request was written.
    NotSent,
    /// The connection was closed or failed later, or the response is invalid.
    Broken,
}

impl UpstreamError {
    pub(crate) fn ending(self) -> Ending {
        match self {
            Self::NotSent => Ending::NotSent,
            Self::Broken => Ending::Broken,
        }
    }
}

impl Upstream {
    /// Creates an exchange for the request. The permit ensures that the router has allowed it.
    pub(crate) fn new(conn: Conn, request: Vec<u8>, _: Permit) -> Self {
        Self::to_host(conn, request)
    }

    /// Creates an exchange with another host, which asks for the permit itself.
    pub(crate) fn to_host(conn: Conn, request: Vec<u8>) -> Self {
        Self {
            conn,
            request,
            sent: 0,
            strays: 0,
            stray: None,
            skipped: 0,
        }
    }

    /// Returns the number of stray responses.
    pub(crate) fn strays(&self) -> u32 {
        self.strays
    }

    /// Reads once while writing the rest of the request, and returns the number of bytes, 0 at
    /// the end of the connection.
    async fn advance(&mut self) -> io::Result<usize> {
        while self.sent < self.request.len() {
            let writer = self.conn.writer();
            let mut writer = &writer;
            let write = writer.write(&self.request[self.sent..]);
            let read = self.conn.fill();
            pin_mut!(write, read);
            match select(write, read).await {
                Either::Left((written, _)) => self.sent += written?,
                Either::Right((read, _)) => return read,
            }
        }
        self.conn.fill().await
    }

    /// Reads the head of the next response. It can be called again after cancellation.
    pub(crate) async fn head(&mut self, method: &str) -> Result<response::Head, UpstreamError> {
        self.read_stray().await?;
        if self.skipped > MAX_SKIPPED_BYTES {
            return Err(UpstreamError::Broken);
        }
        loop {
            let unread = self.conn.unread();
            if let Some(end) = framing::head_end(unread) {
                let head = response::Head::parse(&unread[..end], method);
                self.conn.consume(end);
                self.skipped += end;
                return head.map_err(|_| UpstreamError::Broken);
            }
            if unread.len() > MAX_HEAD_BYTES {
                return Err(UpstreamError::Broken);
            }
            match self.advance().await {
                Ok(1..) => {}
                Err(_) if self.sent == 0 => return Err(UpstreamError::NotSent),
                _ => return Err(UpstreamError::Broken),
            }
        }
    }

    /// Reads the complete body of a response. If its length is known, first waits until there is
    /// memory for all of it: responses that each hold a part would wait for each other.
    pub(crate) async fn body(
        &mut self,
        response: &mut BufferedResponse,
        max: usize,
    ) -> Result<(), UpstreamError> {
        let BufferedResponse {
            head,
            body,
            reservation,
        } = response;
        if let Length::Known(len) = head.length {
            let len = usize::try_from(len).unwrap_or(usize::MAX);
            if len > max {
                return Err(UpstreamError::Broken);
            }
            reservation.hold(len).await;
        }
        let mut decoder = Decoder::new(head.length);
        loop {
            self.decode(&mut decoder, body)?;
            if body.len() > max || !reservation.try_hold(body.len()) {
                return Err(UpstreamError::Broken);
            }
            if decoder.is_done() {
                return Ok(());
            }
            self.advance_body(&mut decoder).await?;
        }
    }

    /// Reads the next bytes of a body, or finishes the decoder at the end of the connection.
    ///
    /// A body that ends with the connection is complete only if the endpoint also takes the rest of
    /// the request. If its process ends before it has read all of it, its kernel may end the response
    /// as if it were complete, and reset the connection only when more of the request arrives.
    pub(crate) async fn advance_body(
        &mut self,
        decoder: &mut Decoder,
    ) -> Result<(), UpstreamError> {
        match self.advance().await {
            Ok(1..) => return Ok(()),
            Ok(0) => {}
            Err(_) => return Err(UpstreamError::Broken),
        }
        let mut finished = decoder.clone();
        finished.finish().map_err(|_| UpstreamError::Broken)?;
        self.write_rest().await.map_err(|_| UpstreamError::Broken)?;
        // Only now: this future may be cancelled while it writes.
        *decoder = finished;
        Ok(())
    }

    /// Writes the rest of the request, and fails if the endpoint doesn't take it. It can be called
    /// again after cancellation.
    async fn write_rest(&mut self) -> io::Result<()> {
        while self.sent < self.request.len() {
            let mut writer = self.conn.writer();
            self.sent += writer.write(&self.request[self.sent..]).await?;
        }
        self.conn.check_not_reset()
    }

    /// Starts skipping the body of a stray response; the next call of [`Self::head`] reads it. The
    /// connection isn't reused afterwards, since more of them may follow.
    ///
    /// # Errors
    /// Returns an error if the body extends to the end of the connection.
    pub(crate) fn start_skipping(&mut self, head: &response::Head) -> Result<(), UpstreamError> {
        if head.length == Length::UntilClose {
            return Err(UpstreamError::Broken);
        }
        self.strays += 1;
        self.stray = Some(Decoder::new(head.length));
        Ok(())
    }

    /// Reads the rest of the stray response, and keeps none of it: there may be one for each of many
    /// requests.
    async fn read_stray(&mut self) -> Result<(), UpstreamError> {
        while let Some(decoder) = &mut self.stray {
            let mut dropped = Vec::new();
            let taken = decoder
                .decode(self.conn.unread(), &mut dropped)
                .map_err(|_| UpstreamError::Broken)?;
            self.conn.consume(taken);
            self.skipped += taken;
            if decoder.is_done() {
                self.stray = None;
                return Ok(());
            }
            if self.skipped > MAX_SKIPPED_BYTES || !matches!(self.advance().await, Ok(1..)) {
                return Err(UpstreamError::Broken);
            }
        }
        Ok(())
    }

    /// Decodes the bytes that have been read.
    pub(crate) fn decode(
        &mut self,
        decoder: &mut Decoder,
        body: &mut Vec<u8>,
    ) -> Result<(), UpstreamError> {
        let taken = decoder
            .decode(self.conn.unread(), body)
            .map_err(|_| UpstreamError::Broken)?;
        self.conn.consume(taken);
        Ok(())
    }

    /// Returns the connection if it can be reused: the request was written completely, and
    /// nothing but its response was received.
    pub(crate) fn into_clean(self) -> Option<Conn> {
        let is_clean =
            self.strays == 0 && self.sent == self.request.len() && self.conn.unread().is_empty();
        is_clean.then_some(self.conn)
    }
}
