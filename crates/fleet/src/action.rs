//! What the core asks for.

use std::net::SocketAddr;
use std::sync::Arc;

use kernel::{HostName, Revision};
use wire::{Delta, Endpoint, Frame, Member, State, Verdict};

/// Something to be done by the host's outer layers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Send a frame. Nobody waits for it; a lost one is made up for.
    Send {
        /// The host that must prove to be at the address.
        host: HostName,
        /// Where it takes frames.
        address: SocketAddr,
        /// What to send.
        frame: Frame,
    },
    /// Read the configuration's head from the table and answer with
    /// [`crate::Event::Polled`] or [`crate::Event::PollFailed`].
    Poll,
    /// Put a newer configuration in force. A lower revision never follows.
    Apply {
        /// The revision.
        revision: Revision,
        /// The document as JSON.
        json: Arc<[u8]>,
    },
    /// A member joined or changed its state.
    Member(Change),
    /// A verdict that wasn't known before, also of this host's own making.
    Verdict(Verdict),
    /// News of an endpoint that wasn't known before.
    Endpoint(Endpoint),
    /// Counts of other hosts.
    Evidence(Vec<Delta>),
    /// An operator asked this host to drain.
    Drain,
    /// The fleet knows this incarnation as dead for good: take no new request,
    /// and start again as a new incarnation.
    Deposed,
}

/// A member's change of state.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Change {
    /// The member as it is now.
    pub member: Member,
    /// Its state before; nothing when it is new.
    pub before: Option<State>,
}
