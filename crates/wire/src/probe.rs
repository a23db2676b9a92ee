//! Probes of the failure detector, and the responses to them.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::{GossipMessage, Identity, Load, Proof};

/// Checks whether a host is alive.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Probe {
    /// Identifies the probe among those of its sender.
    pub sequence: u32,
    /// The sender.
    pub from: Identity,
    /// The address at which the sender receives frames. The receiver may not know the
    /// sender yet.
    pub address: SocketAddr,
    /// The sender's configuration revision, and the age of the proof that it is the newest.
    pub proof: Proof,
    /// A fingerprint of the sender's view. A lasting difference starts a comparison of the
    /// views, see [`crate::Digest`].
    pub view: u64,
    /// Gossip updates piggybacked on the probe.
    pub gossip_message: GossipMessage,
    /// The sender's own load, and a sample of recent loads of hosts in its data centre.
    pub loads: Vec<Load>,
}

/// Responds to a probe.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ack {
    /// The sequence number of the probe.
    pub sequence: u32,
    /// The target of the probe, also if another host forwards the ack.
    pub from: Identity,
    /// The target's configuration revision, and the age of the proof that it is the newest.
    pub proof: Proof,
    /// A fingerprint of the target's view, see [`Probe::view`].
    pub view: u64,
    /// Gossip updates piggybacked on the ack; none if another host forwards it.
    pub gossip_message: GossipMessage,
    /// The target's own load, and a sample of recent loads of hosts in its data centre; empty
    /// if another host forwards the ack.
    pub loads: Vec<Load>,
}

/// Asks a third host to probe a target that didn't respond, so that one broken network
/// path doesn't make the target look dead.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ProbeRequest {
    /// The sequence number of the failed probe; the ack that is forwarded repeats it.
    pub sequence: u32,
    /// The sender.
    pub from: Identity,
    /// The host that didn't respond.
    pub target: Identity,
    /// The address at which the target receives frames.
    pub address: SocketAddr,
}
