//! Counts a host's traffic, including the overhead of the transport.

use std::time::Duration;

use wire::Frame;

/// Bytes that IP, UDP and QUIC add to a frame, see `docs/design/membership.md`.
pub(super) const FRAME_OVERHEAD_BYTES: u64 = 68;

/// Bytes of a QUIC acknowledgement in the opposite direction, if no response
/// carries it.
const ACKNOWLEDGEMENT_BYTES: u64 = 64;

/// One host's traffic and processor time.
#[derive(Clone, Copy, Debug, Default)]
pub struct Traffic {
    /// Frames sent.
    pub frames_sent: u64,
    /// Frames received.
    pub frames_received: u64,
    /// Bytes sent, including transport overhead.
    pub bytes_sent: u64,
    /// Bytes received, including transport overhead.
    pub bytes_received: u64,
    /// Bytes sent or received for configuration documents.
    pub document_bytes: u64,
    /// Bytes sent or received for probes and their responses.
    pub probe_bytes: u64,
    /// Bytes sent or received for gossip updates and view comparisons.
    pub news_bytes: u64,
    /// Bytes sent or received for evidence.
    pub evidence_bytes: u64,
    /// Time spent in the membership core and the codec.
    pub processor: Duration,
}

impl Traffic {
    /// Bytes sent and received, without configuration documents.
    #[must_use]
    pub fn steady_bytes(&self) -> u64 {
        (self.bytes_sent + self.bytes_received).saturating_sub(self.document_bytes)
    }

    pub(super) fn add_frame_bytes(&mut self, frame: &Frame, bytes: u64) {
        let sum = match frame {
            Frame::Probe(_) | Frame::Ack(_) | Frame::ProbeRequest(_) => &mut self.probe_bytes,
            Frame::Gossip(_) | Frame::Digest(_) => &mut self.news_bytes,
            Frame::Evidence(_) => &mut self.evidence_bytes,
            Frame::Document(_) => &mut self.document_bytes,
            _ => return,
        };
        *sum += bytes;
    }
}

/// Returns the bytes of the acknowledgement for a frame; 0 if the frame gets an
/// immediate response, which carries the acknowledgement.
pub(super) fn acknowledgement_bytes(frame: &Frame) -> u64 {
    match frame {
        Frame::Probe(_) | Frame::Fetch(_) => 0,
        Frame::Digest(digest) if digest.wants_response => 0,
        _ => ACKNOWLEDGEMENT_BYTES,
    }
}
