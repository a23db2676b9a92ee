//! Received frames and replies to them.

use std::sync::Arc;

use kernel::HostName;
use quinn::SendStream;
use wire::Frame;

use crate::{Counters, Peer};

/// A frame from an authenticated host.
#[derive(Debug)]
pub struct Incoming {
    /// The sender, with the remote address of its connection.
    pub from: Peer,
    /// The frame.
    pub frame: Frame,
    /// Sends the response, if the sender waits for one.
    pub reply: Option<Reply>,
}

impl Incoming {
    /// Returns the sender's authenticated name.
    #[must_use]
    pub fn host(&self) -> &HostName {
        &self.from.host
    }
}

/// Sends the response to a request. Dropping it ends the stream without a response; the
/// sender's request then fails with [`Error::Frame`](crate::Error::Frame).
#[derive(Debug)]
pub struct Reply {
    pub(crate) stream: SendStream,
    pub(crate) counters: Arc<Counters>,
}

impl Reply {
    /// Sends the response. Failures are ignored: the sender may have stopped waiting. A
    /// frame that can't be encoded is not sent.
    pub async fn send(mut self, frame: &Frame) {
        let Ok(bytes) = frame.encode() else { return };
        if self.stream.write_all(&bytes).await.is_ok() && self.stream.finish().is_ok() {
            self.counters.count_sent(bytes.len());
        }
    }
}
