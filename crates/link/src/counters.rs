//! Counters of sent, received and rejected frames.

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Mutex, PoisonError};

use derive_more::{AddAssign, Sub};
use quinn::ConnectionStats;

/// The reason for which a connection or a received frame was rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Rejection {
    /// The handshake of an accepted connection failed or timed out, for instance because
    /// the peer has no certificate of the fleet's CA.
    Handshake,
    /// The certificate of a host that opened a connection contains no DNS name, or several.
    CertificateName,
    /// The received bytes can't be decoded as a frame.
    Malformed,
    /// The received bytes exceed [`wire::MAX_FRAME_BYTES`].
    TooLarge,
    /// The inbox was full.
    InboxFull,
}

impl Rejection {
    /// All reasons.
    pub const ALL: [Self; 5] = [
        Self::Handshake,
        Self::CertificateName,
        Self::Malformed,
        Self::TooLarge,
        Self::InboxFull,
    ];

    /// Returns the reason's name in metrics.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::Handshake => "handshake",
            Self::CertificateName => "nameless",
            Self::Malformed => "malformed",
            Self::TooLarge => "too_large",
            Self::InboxFull => "flooded",
        }
    }
}

/// The counters of a link since it was bound.
#[derive(Debug, Default)]
pub struct Counters {
    frames_sent: AtomicU64,
    frames_received: AtomicU64,
    bytes_sent: AtomicU64,
    bytes_received: AtomicU64,
    unsent: AtomicU64,
    handshakes: AtomicU64,
    closed: Mutex<UdpTraffic>,
    rejected: [AtomicU64; Rejection::ALL.len()],
}

/// UDP traffic, including the overhead of QUIC and TLS but not the UDP and IP headers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, AddAssign, Sub)]
pub struct UdpTraffic {
    /// UDP payload bytes sent.
    pub bytes_sent: u64,
    /// UDP payload bytes received.
    pub bytes_received: u64,
    /// UDP datagrams sent.
    pub datagrams_sent: u64,
    /// UDP datagrams received.
    pub datagrams_received: u64,
}

impl From<ConnectionStats> for UdpTraffic {
    fn from(stats: ConnectionStats) -> Self {
        Self {
            bytes_sent: stats.udp_tx.bytes,
            bytes_received: stats.udp_rx.bytes,
            datagrams_sent: stats.udp_tx.datagrams,
            datagrams_received: stats.udp_rx.datagrams,
        }
    }
}

/// The values of the counters at one moment.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Snapshot {
    /// Frames sent.
    pub frames_sent: u64,
    /// Frames received, including responses, malformed frames and those dropped by a full
    /// inbox, but not those that are too large.
    pub frames_received: u64,
    /// Bytes of the frames sent, without QUIC's overhead.
    pub bytes_sent: u64,
    /// Bytes of these received frames, without QUIC's overhead.
    pub bytes_received: u64,
    /// Frames passed to [`Link::send`](crate::Link::send) that could not be sent.
    pub unsent: u64,
    /// Connections established, opened by either side.
    pub handshakes: u64,
}

impl Counters {
    /// Returns the current values.
    #[must_use]
    pub fn snapshot(&self) -> Snapshot {
        let read = |it: &AtomicU64| it.load(Ordering::Relaxed);
        Snapshot {
            frames_sent: read(&self.frames_sent),
            frames_received: read(&self.frames_received),
            bytes_sent: read(&self.bytes_sent),
            bytes_received: read(&self.bytes_received),
            unsent: read(&self.unsent),
            handshakes: read(&self.handshakes),
        }
    }

    /// Returns the number of rejections for `reason`.
    #[must_use]
    pub fn rejected(&self, reason: Rejection) -> u64 {
        self.rejected[reason as usize].load(Ordering::Relaxed)
    }

    /// Returns the traffic of all closed connections to authenticated hosts.
    pub(crate) fn closed(&self) -> UdpTraffic {
        *self.closed.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn count_closed(&self, traffic: UdpTraffic) {
        *self.closed.lock().unwrap_or_else(PoisonError::into_inner) += traffic;
    }

    pub(crate) fn count_sent(&self, bytes: usize) {
        self.frames_sent.fetch_add(1, Ordering::Relaxed);
        self.bytes_sent.fetch_add(bytes as u64, Ordering::Relaxed);
    }

    pub(crate) fn count_received(&self, bytes: usize) {
        self.frames_received.fetch_add(1, Ordering::Relaxed);
        self.bytes_received
            .fetch_add(bytes as u64, Ordering::Relaxed);
    }

    pub(crate) fn count_unsent(&self) {
        self.unsent.fetch_add(1, Ordering::Relaxed);
    }

    pub(crate) fn count_handshake(&self) {
        self.handshakes.fetch_add(1, Ordering::Relaxed);
    }

    pub(crate) fn count_rejected(&self, reason: Rejection) {
        self.rejected[reason as usize].fetch_add(1, Ordering::Relaxed);
    }
}
