//! Input events of the core.

use std::sync::Arc;
use std::time::Duration;

use kernel::{HostName, Revision, VersionId};
use wire::{Delta, Endpoint, Frame, Identity, Member, Ruling};

/// An input of the core.
#[derive(Clone, Debug)]
pub enum Event {
    /// Time has passed; sent at [`crate::Fleet::deadline`] or a little later.
    Tick,
    /// The platform's list of hosts. It lags, so it only provides addresses
    /// to contact and never marks a host as alive or dead.
    Hosts(Vec<Member>),
    /// A frame arrived from the host named in the peer's certificate.
    Frame {
        /// The authenticated sender.
        from: HostName,
        /// The frame.
        frame: Frame,
    },
    /// The table was read, or this host committed a change to it.
    Polled(Polled),
    /// A table read failed or timed out.
    PollFailed,
    /// The counts of this host since its last evidence event.
    Evidence(Vec<Delta>),
    /// The decision core of this host reached a verdict.
    Ruled(Ruled),
    /// The state of an endpoint, as this host learned it from the endpoint's load
    /// report or from an attempt.
    Endpoint(Endpoint),
    /// This host's load, from 0 (idle) to 255 (full).
    Load(u8),
    /// This host starts to drain.
    Leave,
    /// This host shuts down; the core announces it as dead.
    Goodbye,
    /// The incarnation is fenced in the table, so it is permanently dead.
    Fenced(Identity),
    /// An operator requested that a host drain.
    Drain(Identity),
}

/// The configuration as read from the table or committed to it.
#[derive(Clone, Debug)]
pub struct Polled {
    /// A time no later than the sending of the read, or of the write of a change. The
    /// age of the proof counts from here, because the response may have been written
    /// well before it arrived.
    pub asked: Duration,
    /// The newest revision.
    pub revision: Revision,
    /// The revision's document as JSON; may be absent if the revision is already in
    /// force.
    pub json: Option<Arc<[u8]>>,
}

/// A verdict of this host's decision core.
#[derive(Clone, Debug)]
pub struct Ruled {
    /// The version.
    pub version: VersionId,
    /// The ruling.
    pub ruling: Ruling,
    /// The evidence for the ruling, in the decision core's encoding.
    pub evidence: Vec<u8>,
}
