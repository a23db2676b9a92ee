//! What comes in.

use std::sync::Arc;

use kernel::HostName;
use quinn::SendStream;
use wire::Frame;

use crate::{Counters, Peer};

/// A frame from a host that proved its name.
#[derive(Debug)]
pub struct Incoming {
    /// The sender; the address is where the frame came from.
    pub from: Peer,
    /// What it sent.
    pub frame: Frame,
    /// How to answer, where the sender waits for one.
    pub reply: Option<Reply>,
}

impl Incoming {
    /// The sender's proven name.
    #[must_use]
    pub fn host(&self) -> &HostName {
        &self.from.host
    }
}

/// The way back to a sender that waits; dropping it tells the sender that no
/// answer comes.
#[derive(Debug)]
pub struct Reply {
    pub(crate) stream: SendStream,
    pub(crate) counters: Arc<Counters>,
}

impl Reply {
    /// Answers. A sender that no longer waits is no fault, so nothing is returned.
    pub async fn send(mut self, frame: &Frame) {
        let Ok(bytes) = frame.encode() else { return };
        if self.stream.write_all(&bytes).await.is_ok() && self.stream.finish().is_ok() {
            self.counters.count_sent(bytes.len());
        }
    }
}
