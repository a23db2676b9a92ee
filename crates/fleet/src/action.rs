//! Output actions of the core.

use std::net::SocketAddr;
use std::sync::Arc;

use kernel::{HostName, Revision};
use wire::{Delta, Endpoint, Frame, Member, State, Verdict};

/// An action for the code around the core to carry out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Send a frame. Delivery needn't be reliable: the core recovers from lost frames.
    Send {
        /// The host that must authenticate at the address.
        host: HostName,
        /// The address at which the host accepts frames.
        address: SocketAddr,
        /// The frame.
        frame: Frame,
    },
    /// Read the newest configuration revision from the table and report the result
    /// with [`crate::Event::Polled`] or [`crate::Event::PollFailed`].
    Poll,
    /// Put a newer configuration in force. Revisions never decrease.
    Apply {
        /// The revision.
        revision: Revision,
        /// The document as JSON.
        json: Arc<[u8]>,
    },
    /// A member joined or changed its state.
    Member(Change),
    /// A new verdict, from this host or another one.
    Verdict(Verdict),
    /// A new update on an endpoint.
    Endpoint(Endpoint),
    /// Evidence counted by other hosts.
    Evidence(Vec<Delta>),
    /// An operator requested that this host drain.
    Drain,
    /// This incarnation is permanently dead to the fleet, or has to assume so: accept
    /// no new requests and restart as a new incarnation.
    Deposed,
}

/// A member's change of state.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Change {
    /// The member's present record.
    pub member: Member,
    /// The previous state, or `None` for a new member or incarnation.
    pub before: Option<State>,
}
