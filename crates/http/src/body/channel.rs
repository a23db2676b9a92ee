//! Streamed bodies, fed by a task through a channel.

use std::io;
use std::pin::Pin;
use std::task::{Context, Poll, ready};

use async_std::channel::{self, Receiver};
use futures::Stream;

use crate::Cause;

/// Creates a sender and a receiver with a buffer for `capacity` pieces, or for one if that is 0.
pub(super) fn open(capacity: usize) -> (Sender, PieceReader) {
    let (sender, receiver) = channel::bounded(capacity.max(1));
    let reader = PieceReader {
        receiver,
        piece: Vec::new(),
        pos: 0,
        state: State::Open,
    };
    (Sender { sender }, reader)
}

/// The sender of a streamed body.
///
/// If all clones are dropped and none called [`Sender::finish`], reading the body fails, so that
/// the receiver doesn't mistake the output of a failed producer for a complete body.
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
    /// Sends a piece, waiting while the buffer is full.
    ///
    /// # Errors
    /// [`Cause::Closed`] if the body was dropped, for example because the caller disconnected.
    pub async fn send(&self, bytes: impl Into<Vec<u8>>) -> Result<(), Cause> {
        let piece = Piece::Bytes(bytes.into());
        self.sender.send(piece).await.map_err(|_| Cause::Closed)
    }

    /// Marks the body as complete.
    ///
    /// # Errors
    /// [`Cause::Closed`] if the body was dropped.
    pub async fn finish(self) -> Result<(), Cause> {
        self.sender
            .send(Piece::End)
            .await
            .map_err(|_| Cause::Closed)
    }

    /// Returns whether the body was dropped.
    #[must_use]
    pub fn is_closed(&self) -> bool {
        self.sender.is_closed()
    }
}

/// The receiver of a streamed body.
pub(super) struct PieceReader {
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

impl PieceReader {
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
