//! What a host's frames cost, with what the transport adds.

use std::time::Duration;

use wire::Frame;

/// What IP, UDP and QUIC add to a frame; measured on a link, see
/// `docs/design/membership.md`.
pub(super) const OVERHEAD: u64 = 68;

/// What QUIC's acknowledgement takes in the other direction, where no answer
/// carries it; measured likewise.
const ACKNOWLEDGEMENT: u64 = 64;

/// What one host sent and received, and what it took.
#[derive(Clone, Copy, Debug, Default)]
pub struct Traffic {
    /// Frames sent.
    pub frames_sent: u64,
    /// Frames received.
    pub frames_received: u64,
    /// Bytes sent, with what the transport adds.
    pub bytes_sent: u64,
    /// Bytes received, with what the transport adds.
    pub bytes_received: u64,
    /// Those of the bytes, sent or received, that carried configuration documents.
    pub document_bytes: u64,
    /// Those that carried probes and their answers.
    pub probe_bytes: u64,
    /// Those that carried news and comparisons.
    pub news_bytes: u64,
    /// Those that carried evidence.
    pub evidence_bytes: u64,
    /// Time spent in the core and the codec.
    pub processor: Duration,
}

impl Traffic {
    /// Bytes sent and received, but for configuration documents.
    #[must_use]
    pub fn steady_bytes(&self) -> u64 {
        (self.bytes_sent + self.bytes_received).saturating_sub(self.document_bytes)
    }

    pub(super) fn count(&mut self, frame: &Frame, bytes: u64) {
        let sum = match frame {
            Frame::Probe(_) | Frame::Ack(_) | Frame::ProbeRequest(_) => &mut self.probe_bytes,
            Frame::News(_) | Frame::Digest(_) => &mut self.news_bytes,
            Frame::Evidence(_) => &mut self.evidence_bytes,
            Frame::Document(_) => &mut self.document_bytes,
            _ => return,
        };
        *sum += bytes;
    }
}

/// An answer that follows at once carries the acknowledgement of the frame.
pub(super) fn acknowledgement(frame: &Frame) -> u64 {
    match frame {
        Frame::Probe(_) | Frame::Fetch(_) => 0,
        Frame::Digest(digest) if digest.reply => 0,
        _ => ACKNOWLEDGEMENT,
    }
}
