//! Bodies: bytes, or a stream of them.

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
use crate::client::Answer;
use crate::copy::poll_copy;

use channel::Pieces;
pub use channel::Sender;

type Reader = Box<dyn AsyncBufRead + Send + Sync + Unpin>;

/// A body. It reads as [`AsyncBufRead`], piece by piece as the bytes come.
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
    Answer {
        answer: Box<Answer>,
        len: Option<u64>,
    },
    Channel(Pieces),
}

impl Body {
    /// No bytes.
    #[must_use]
    pub fn empty() -> Self {
        Self::bytes(Vec::new())
    }

    /// Bytes that are all there.
    #[must_use]
    pub fn bytes(bytes: impl Into<Vec<u8>>) -> Self {
        let bytes = Arc::new(bytes.into());
        Self {
            source: Source::Bytes { bytes, pos: 0 },
        }
    }

    /// `value` as JSON.
    ///
    /// A value that has no JSON form (a map whose keys aren't text) gives an empty body,
    /// which the peer refuses; the types of this workspace have one.
    #[must_use]
    pub fn json<T: Serialize + ?Sized>(value: &T) -> Self {
        Self::bytes(serde_json::to_vec(value).unwrap_or_default())
    }

    /// Bytes that a task sends while the body is being written.
    #[must_use]
    pub fn channel(capacity: usize) -> (Sender, Self) {
        let (sender, pieces) = channel::open(capacity);
        let source = Source::Channel(pieces);
        (sender, Self { source })
    }

    /// Bytes from a reader, `len` of them when that is known.
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

    /// The bytes of an answer, `len` of them when that is known.
    pub(crate) fn answer(answer: Answer, len: Option<u64>) -> Self {
        let answer = Box::new(answer);
        Self {
            source: Source::Answer { answer, len },
        }
    }

    /// How many bytes there are in all, when that is known before the end.
    #[must_use]
    pub fn len(&self) -> Option<u64> {
        match &self.source {
            Source::Bytes { bytes, .. } => Some(bytes.len() as u64),
            Source::Reader { len, .. } | Source::Answer { len, .. } => *len,
            Source::Channel(_) => None,
        }
    }

    /// Whether it is known that there are no bytes.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len() == Some(0)
    }

    /// Reads to the end, at most `limit` bytes.
    ///
    /// # Errors
    /// [`Error::TooLarge`] past the limit, [`Error::Cut`] when the body broke off.
    pub async fn collect(mut self, limit: usize) -> Result<Vec<u8>, Error> {
        self.drain(limit).await
    }

    /// Reads to the end as JSON, at most `limit` bytes.
    ///
    /// # Errors
    /// As [`Body::collect`], and [`Error::Json`] when the bytes aren't a `T`.
    pub async fn parse<T: DeserializeOwned>(mut self, limit: usize) -> Result<T, Error> {
        self.drain_json(limit).await
    }

    /// What [`Body::collect`] does, for who has yet to tell whether this is the answer
    /// to its request, see [`Body::give_up`].
    ///
    /// # Errors
    /// As [`Body::collect`].
    pub async fn drain(&mut self, limit: usize) -> Result<Vec<u8>, Error> {
        if self.len().is_some_and(|len| len > limit as u64) {
            return Err(Error::TooLarge { limit });
        }
        if let Source::Bytes { bytes, pos: 0 } = &mut self.source {
            return Ok(Arc::unwrap_or_clone(std::mem::take(bytes)));
        }
        let mut all = Vec::new();
        while let Some(piece) = self.piece().await? {
            if all.len() + piece.len() > limit {
                return Err(Error::TooLarge { limit });
            }
            all.extend_from_slice(&piece);
        }
        Ok(all)
    }

    /// What [`Body::parse`] does, for the same. An answer that is no `T` may be
    /// another's, so its connection is given up here.
    ///
    /// # Errors
    /// As [`Body::parse`].
    pub async fn drain_json<T: DeserializeOwned>(&mut self, limit: usize) -> Result<T, Error> {
        let bytes = self.drain(limit).await?;
        serde_json::from_slice(&bytes).map_err(|err| {
            self.give_up();
            Error::from(&err)
        })
    }

    /// Has the connection on which this answer came closed.
    ///
    /// Failure: a peer answers one request twice. On a kept connection the next
    /// request reads the second answer, and its own comes after it, for the request
    /// after that, and so on for as long as the connection is used. Whoever reads an
    /// answer that isn't its own ends that, since a new connection has carried nothing yet.
    pub fn give_up(&mut self) {
        if let Source::Answer { answer, .. } = &mut self.source {
            answer.give_up();
        }
    }

    /// The next bytes as they come, nothing at the end.
    ///
    /// # Errors
    /// [`Error::Cut`] when the body broke off.
    pub async fn piece(&mut self) -> Result<Option<Vec<u8>>, Error> {
        let bytes = self.fill_buf().await.map_err(|err| Error::body(&err))?;
        let piece = bytes.to_vec();
        self.consume_unpin(piece.len());
        Ok((!piece.is_empty()).then_some(piece))
    }

    /// A second body of the same bytes, when they are all there.
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
            Source::Answer { answer, .. } => Pin::new(answer).poll_fill_buf(cx),
            Source::Channel(pieces) => pieces.poll_fill_buf(cx),
        }
    }

    fn consume(self: Pin<&mut Self>, amt: usize) {
        match &mut self.get_mut().source {
            Source::Bytes { pos, .. } => *pos += amt,
            Source::Reader { reader, .. } => Pin::new(reader).consume(amt),
            Source::Answer { answer, .. } => Pin::new(answer).consume(amt),
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
