//! The messages between hosts.

use derive_more::{From, IsVariant};
use serde::{Deserialize, Serialize};

use crate::{
    Ack, Digest, Document, Evidence, Fetch, GossipMessage, Identity, Payload, Probe, ProbeRequest,
};

/// One message between two hosts.
///
/// The order of the variants is part of the encoding: add new ones at the end.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, From, IsVariant)]
pub enum Frame {
    /// Checks whether a host is alive.
    Probe(Probe),
    /// Responds to a probe.
    Ack(Ack),
    /// Asks a third host to probe the target.
    ProbeRequest(ProbeRequest),
    /// Gossip updates sent at once rather than on a probe.
    Gossip(GossipMessage),
    /// Compares two hosts' views.
    Digest(Digest),
    /// Requests the configuration.
    Fetch(Fetch),
    /// The configuration.
    Document(Document),
    /// Counts for aggregation.
    Evidence(Evidence),
    /// Orders the given incarnation to drain.
    #[from(skip)]
    Drain(Identity),
    /// Confirms a frame that has no other response.
    #[from(skip)]
    Done,
    /// A message between the ledgers of two hosts, encoded by the ledger.
    #[from(skip)]
    Ledger(Payload),
    /// A message between the decision cores of two hosts, encoded by them.
    #[from(skip)]
    Decide(Payload),
}

impl Frame {
    /// Returns the name of the variant in snake case.
    #[must_use]
    pub fn kind(&self) -> &'static str {
        match self {
            Self::Probe(_) => "probe",
            Self::Ack(_) => "ack",
            Self::ProbeRequest(_) => "probe_request",
            Self::Gossip(_) => "news",
            Self::Digest(_) => "digest",
            Self::Fetch(_) => "fetch",
            Self::Document(_) => "document",
            Self::Evidence(_) => "evidence",
            Self::Drain(_) => "drain",
            Self::Done => "done",
            Self::Ledger(_) => "ledger",
            Self::Decide(_) => "decide",
        }
    }
}
