//! Probes and what answers them.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::{Bulletin, Identity, Load, Proof};

/// Asks a host whether it lives.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Probe {
    /// Names this probe among those of its sender.
    pub sequence: u32,
    /// Who asks.
    pub from: Identity,
    /// Where the asker takes frames, because a host that was just found may
    /// not know it yet.
    pub address: SocketAddr,
    /// The asker's view of the configuration.
    pub proof: Proof,
    /// A fingerprint of the asker's view of the members; a difference starts a
    /// comparison.
    pub view: u64,
    /// News that is still being spread.
    pub bulletin: Bulletin,
    /// The freshest loads that the asker knows.
    pub loads: Vec<Load>,
}

/// Answers a probe.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ack {
    /// The probe that is answered.
    pub sequence: u32,
    /// Who lives: the target of the probe, also where a helper passes it on.
    pub from: Identity,
    /// The answerer's view of the configuration.
    pub proof: Proof,
    /// As in [`Probe::view`].
    pub view: u64,
    /// News that is still being spread.
    pub bulletin: Bulletin,
    /// The freshest loads that the answerer knows.
    pub loads: Vec<Load>,
}

/// Asks a third host to probe a target that didn't answer, so that one broken
/// path doesn't pass for a dead host.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ProbeRequest {
    /// The probe that wasn't answered; the helper's ack repeats it.
    pub sequence: u32,
    /// Who asks.
    pub from: Identity,
    /// Who didn't answer.
    pub target: Identity,
    /// Where the target takes frames.
    pub address: SocketAddr,
}
