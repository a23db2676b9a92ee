//! What passed, and what was dropped for which reason.

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Mutex, PoisonError};

use derive_more::{AddAssign, Sub};
use quinn::ConnectionStats;

/// Why something that came was dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Rejection {
    /// The peer couldn't prove to belong to the fleet.
    Handshake,
    /// Its certificate names no host, or more than one.
    Nameless,
    /// What it sent is no frame.
    Malformed,
    /// What it sent exceeds the largest frame.
    TooLarge,
    /// Too many frames waited to be taken.
    Flooded,
}

impl Rejection {
    /// All reasons.
    pub const ALL: [Self; 5] = [
        Self::Handshake,
        Self::Nameless,
        Self::Malformed,
        Self::TooLarge,
        Self::Flooded,
    ];

    /// The reason's name in metrics.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::Handshake => "handshake",
            Self::Nameless => "nameless",
            Self::Malformed => "malformed",
            Self::TooLarge => "too_large",
            Self::Flooded => "flooded",
        }
    }
}

/// Counts since the link was bound.
#[derive(Debug, Default)]
pub struct Counters {
    frames_sent: AtomicU64,
    frames_received: AtomicU64,
    bytes_sent: AtomicU64,
    bytes_received: AtomicU64,
    unsent: AtomicU64,
    handshakes: AtomicU64,
    ended: Mutex<Transport>,
    rejected: [AtomicU64; Rejection::ALL.len()],
}

/// What went over the wire, with all that QUIC and TLS add, as UDP payloads.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, AddAssign, Sub)]
pub struct Transport {
    /// Bytes sent.
    pub bytes_sent: u64,
    /// Bytes received.
    pub bytes_received: u64,
    /// Datagrams sent.
    pub datagrams_sent: u64,
    /// Datagrams received.
    pub datagrams_received: u64,
}

impl From<ConnectionStats> for Transport {
    fn from(stats: ConnectionStats) -> Self {
        Self {
            bytes_sent: stats.udp_tx.bytes,
            bytes_received: stats.udp_rx.bytes,
            datagrams_sent: stats.udp_tx.datagrams,
            datagrams_received: stats.udp_rx.datagrams,
        }
    }
}

/// The counts at one moment.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Snapshot {
    /// Frames that were sent.
    pub frames_sent: u64,
    /// Frames that came.
    pub frames_received: u64,
    /// Their bytes, without QUIC's own.
    pub bytes_sent: u64,
    /// Their bytes, without QUIC's own.
    pub bytes_received: u64,
    /// Frames that found no connection.
    pub unsent: u64,
    /// Connections that came about, in either direction.
    pub handshakes: u64,
}

impl Counters {
    /// The counts now.
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

    /// How often something was dropped for `reason`.
    #[must_use]
    pub fn rejected(&self, reason: Rejection) -> u64 {
        self.rejected[reason as usize].load(Ordering::Relaxed)
    }

    /// What ended connections moved.
    pub(crate) fn ended(&self) -> Transport {
        *self.ended.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn count_ended(&self, transport: Transport) {
        *self.ended.lock().unwrap_or_else(PoisonError::into_inner) += transport;
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
