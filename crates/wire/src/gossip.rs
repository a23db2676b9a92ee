//! Gossip updates. Hosts forward membership records, verdicts and the states of endpoints
//! to each other; each host announces its configuration revision itself.

use kernel::{HostName, Incarnation, Revision};
use serde::{Deserialize, Serialize};

use crate::{Identity, Member, Verdict};

/// The gossip updates that a host sends to another.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct GossipMessage {
    /// Number of hosts that the sender reaches, including itself; 1 while it is isolated. If
    /// it reaches far fewer than the receiver, it is probably partitioned and its accusations
    /// are ignored. If it reaches far more, the receiver retracts all accusations.
    pub reach: u32,
    /// The updates.
    pub updates: Vec<GossipUpdate>,
}

/// A gossip update.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum GossipUpdate {
    /// A membership record.
    Member(Member),
    /// The configuration revision in force at the sender.
    Revision(AnnouncedRevision),
    /// A version was quarantined or released from quarantine.
    Verdict(Verdict),
    /// An endpoint is leaving, is gone, or was replaced.
    Endpoint(Endpoint),
}

/// A revision, and a host that has it in force and can send its document.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AnnouncedRevision {
    /// The revision.
    pub revision: Revision,
    /// The host that has it in force and from which its document can be fetched.
    pub holder: Identity,
}

/// The state of an endpoint. Updates usually arrive before the host list shows the change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Endpoint {
    /// The endpoint's host name.
    pub host: HostName,
    /// The incarnation of its process; a higher one replaces a lower one.
    pub incarnation: Incarnation,
    /// The state.
    pub state: EndpointState,
}

/// The state of an endpoint. A later variant overrides an earlier one of the same
/// incarnation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum EndpointState {
    /// It accepts requests.
    Live,
    /// It finishes its requests and accepts no new ones.
    Leaving,
    /// This incarnation has exited.
    Gone,
}
