//! Gossip updates, which hosts forward to each other until all have them.

use kernel::{HostName, Incarnation, Revision};
use serde::{Deserialize, Serialize};

use crate::{Identity, Member, Verdict};

/// The gossip updates that a host sends to another.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct GossipMessage {
    /// Number of hosts that the sender reaches, including itself. If it reaches far fewer
    /// than the receiver, it is probably partitioned and its accusations are ignored.
    pub reach: u32,
    /// The updates.
    pub updates: Vec<GossipUpdate>,
}

/// A gossip update.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum GossipUpdate {
    /// A member joined or changed its state.
    Member(Member),
    /// A newer configuration exists.
    Revision(NewestRevision),
    /// A version was quarantined or released from quarantine.
    Verdict(Verdict),
    /// An endpoint is leaving, is gone, or was replaced.
    Endpoint(Endpoint),
}

/// The newest revision that the sender knows, and a host that has its document.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct NewestRevision {
    /// The revision.
    pub revision: Revision,
    /// A host that has it in force.
    pub holder: Identity,
}

/// The state of an endpoint. Updates arrive before the host list shows the change.
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
