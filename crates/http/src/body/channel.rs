//! A body whose pieces a task sends while it is being written.

use std::io;
use std::pin::Pin;
use std::task::{Context, Poll, ready};

use async_std::channel::{self, Receiver};
use futures::Stream;

use crate::Cause;

/// Both ends, with room for `capacity` pieces.
pub(super) fn open(capacity: usize) -> (Sender, Pieces) {
    let (sender, receiver) = channel::bounded(capacity.max(1));
    let pieces = Pieces {
        receiver,
        piece: Vec::new(),
        pos: 0,
        state: State::Open,
    };
    (Sender { sender }, pieces)
}

/// The end into which the pieces of a streamed body are put.
///
/// Dropping it without [`Sender::finish`] cuts the body, so that a producer that
/// died halfway can't look like one that had no more to say.
#[derive(Clone, Debug)]
pub struct Sender {
    sender: channel::Sender<Piece>,
}

#[derive(Debug)]
enum Piece {
    Bytes(Vec<u8>),
    End,
}

impl Sender {
    /// Puts in a piece, waiting while the reader is behind.
    ///
    /// # Errors
    /// [`Cause::Closed`] when nobody reads any more: the caller went away.
    pub async fn send(&self, bytes: impl Into<Vec<u8>>) -> Result<(), Cause> {
        let piece = Piece::Bytes(bytes.into());
        self.sender.send(piece).await.map_err(|_| Cause::Closed)
    }

    /// Ends the body as whole.
    ///
    /// # Errors
    /// [`Cause::Closed`] when nobody reads any more.
    pub async fn finish(self) -> Result<(), Cause> {
        self.sender
            .send(Piece::End)
            .await
            .map_err(|_| Cause::Closed)
    }

    /// Whether nobody reads any more.
    #[must_use]
    pub fn is_closed(&self) -> bool {
        self.sender.is_closed()
    }
}

/// The end from which the pieces are read.
pub(super) struct Pieces {
    receiver: Receiver<Piece>,
    piece: Vec<u8>,
    pos: usize,
    state: State,
}

#[derive(Clone, Copy, PartialEq, Eq)]
enum State {
    Open,
    Ended,
}

impl Pieces {
    pub(super) fn poll_fill_buf(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<&[u8]>> {
        while self.pos >= self.piece.len() && self.state == State::Open {
            match ready!(Pin::new(&mut self.receiver).poll_next(cx)) {
                Some(Piece::Bytes(bytes)) => {
                    self.piece = bytes;
                    self.pos = 0;
                }
                Some(Piece::End) => self.state = State::Ended,
                None => return Poll::Ready(Err(io::ErrorKind::UnexpectedEof.into())),
            }
        }
        Poll::Ready(Ok(self.piece.get(self.pos..).unwrap_or_default()))
    }

    pub(super) fn consume(&mut self, amt: usize) {
        self.pos += amt;
    }
}
