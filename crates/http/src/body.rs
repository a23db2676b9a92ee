//! Message bodies.

mod channel;

use std::fmt;
use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};

use futures::io::{AsyncBufRead, AsyncBufReadExt, AsyncRead};
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::Error;
use crate::client::ResponseBody;
use crate::copy::poll_copy;

use channel::PieceReader;
pub use channel::Sender;

type Reader = Box<dyn AsyncBufRead + Send + Sync + Unpin>;

/// The body of a request or response. Implements [`AsyncBufRead`] and [`AsyncRead`].
pub struct Body {
    source: Source,
}

enum Source {
    Bytes {
        bytes: Arc<Vec<u8>>,
        pos: usize,
    },
    Reader {
        reader: Reader,
        len: Option<u64>,
    },
    Response {
        body: Box<ResponseBody>,
        len: Option<u64>,
    },
    Channel(PieceReader),
}

impl Body {
    /// Creates an empty body.
    #[must_use]
    pub fn empty() -> Self {
        Self::bytes(Vec::new())
    }

    /// Creates a body from bytes in memory.
    #[must_use]
    pub fn bytes(bytes: impl Into<Vec<u8>>) -> Self {
        let bytes = Arc::new(bytes.into());
        Self {
            source: Source::Bytes { bytes, pos: 0 },
        }
    }

    /// Creates a body with `value` serialized as JSON.
    ///
    /// The body is empty if `value` can't be serialized, for example because of a map whose keys
    /// aren't strings.
    #[must_use]
    pub fn json<T: Serialize + ?Sized>(value: &T) -> Self {
        Self::bytes(serde_json::to_vec(value).unwrap_or_default())
    }

    /// Creates a streamed body and its sender. Up to `capacity` pieces are buffered; a capacity
    /// of 0 counts as 1.
    #[must_use]
    pub fn channel(capacity: usize) -> (Sender, Self) {
        let (sender, pieces) = channel::open(capacity);
        let source = Source::Channel(pieces);
        (sender, Self { source })
    }

    /// Creates a body from a reader. `len` is its total number of bytes, if known.
    #[must_use]
    pub fn reader(
        reader: impl AsyncBufRead + Send + Sync + Unpin + 'static,
        len: Option<u64>,
    ) -> Self {
        let reader: Reader = Box::new(reader);
        Self {
            source: Source::Reader { reader, len },
        }
    }

    /// Creates the body of a received response. `len` is its total number of bytes, if known.
    pub(crate) fn from_response(body: ResponseBody, len: Option<u64>) -> Self {
        let body = Box::new(body);
        Self {
            source: Source::Response { body, len },
        }
    }

    /// Returns the length in bytes, if it is known in advance.
    #[must_use]
    pub fn len(&self) -> Option<u64> {
        match &self.source {
            Source::Bytes { bytes, .. } => Some(bytes.len() as u64),
            Source::Reader { len, .. } | Source::Response { len, .. } => *len,
            Source::Channel(_) => None,
        }
    }

    /// Returns whether the body is known to be empty.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len() == Some(0)
    }

    /// Reads the whole body, up to `limit` bytes.
    ///
    /// # Errors
    /// [`Error::TooLarge`] if the body exceeds `limit`, or if a request's body exceeds the server's
    /// limit; [`Error::Cut`] if reading it failed.
    pub async fn collect(mut self, limit: usize) -> Result<Vec<u8>, Error> {
        self.read_all(limit).await
    }

    /// Reads the whole body, up to `limit` bytes, and parses it as JSON.
    ///
    /// # Errors
    /// The errors of [`Body::collect`], and [`Error::Json`] if the bytes don't parse as a `T`.
    pub async fn parse<T: DeserializeOwned>(mut self, limit: usize) -> Result<T, Error> {
        self.read_json(limit).await
    }

    /// Like [`Body::collect`], but borrows the body, so that a caller that doesn't accept the
    /// response can still call [`Body::discard_connection`].
    ///
    /// # Errors
    /// The errors of [`Body::collect`].
    pub async fn read_all(&mut self, limit: usize) -> Result<Vec<u8>, Error> {
        if self.len().is_some_and(|len| len > limit as u64) {
            return Err(Error::TooLarge { limit });
        }
        if let Source::Bytes { bytes, pos: 0 } = &mut self.source {
            return Ok(Arc::unwrap_or_clone(std::mem::take(bytes)));
        }
        let mut collected = Vec::new();
        while let Some(piece) = self.piece().await? {
            if collected.len() + piece.len() > limit {
                return Err(Error::TooLarge { limit });
            }
            collected.extend_from_slice(&piece);
        }
        Ok(collected)
    }

    /// Like [`Body::parse`], but borrows the body. If the bytes don't parse as a `T`, they may
    /// belong to the response to another request, and this calls [`Body::discard_connection`].
    ///
    /// # Errors
    /// The errors of [`Body::parse`].
    pub async fn read_json<T: DeserializeOwned>(&mut self, limit: usize) -> Result<T, Error> {
        let bytes = self.read_all(limit).await?;
        serde_json::from_slice(&bytes).map_err(|err| {
            self.discard_connection();
            Error::from(&err)
        })
    }

    /// Prevents the connection of this response from being reused, so that it is closed when the
    /// body is dropped.
    ///
    /// Has no effect on a response without a body, whose connection may already be back in the
    /// pool, nor on bodies that aren't those of received responses.
    ///
    /// If a peer sends two responses to one request, every later request on the connection gets
    /// the response to the request before it. Callers that detect such a response call this,
    /// because a new connection has no stale response to read.
    pub fn discard_connection(&mut self) {
        if let Source::Response { body, .. } = &mut self.source {
            body.discard_connection();
        }
    }

    /// Returns the next bytes as soon as some are available, or `None` at the end.
    ///
    /// # Errors
    /// [`Error::Cut`] if reading the body failed, [`Error::TooLarge`] if a request's body exceeds
    /// the server's limit.
    pub async fn piece(&mut self) -> Result<Option<Vec<u8>>, Error> {
        let bytes = self
            .fill_buf()
            .await
            .map_err(|err| Error::from_body_error(&err))?;
        let piece = bytes.to_vec();
        self.consume_unpin(piece.len());
        Ok((!piece.is_empty()).then_some(piece))
    }

    /// Returns a copy of the body if its bytes are in memory.
    pub(crate) fn try_clone(&self) -> Option<Self> {
        let Source::Bytes { bytes, pos } = &self.source else {
            return None;
        };
        let source = Source::Bytes {
            bytes: Arc::clone(bytes),
            pos: *pos,
        };
        Some(Self { source })
    }
}

impl Default for Body {
    fn default() -> Self {
        Self::empty()
    }
}

impl AsyncBufRead for Body {
    fn poll_fill_buf(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<&[u8]>> {
        match &mut self.get_mut().source {
            Source::Bytes { bytes, pos } => Poll::Ready(Ok(&bytes[*pos..])),
            Source::Reader { reader, .. } => Pin::new(reader).poll_fill_buf(cx),
            Source::Response { body, .. } => Pin::new(body).poll_fill_buf(cx),
            Source::Channel(pieces) => pieces.poll_fill_buf(cx),
        }
    }

    fn consume(self: Pin<&mut Self>, amt: usize) {
        match &mut self.get_mut().source {
            Source::Bytes { pos, .. } => *pos += amt,
            Source::Reader { reader, .. } => Pin::new(reader).consume(amt),
            Source::Response { body, .. } => Pin::new(body).consume(amt),
            Source::Channel(pieces) => pieces.consume(amt),
        }
    }
}

impl AsyncRead for Body {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        poll_copy(self, cx, buf)
    }
}

impl fmt::Debug for Body {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Body").field("len", &self.len()).finish()
    }
}
