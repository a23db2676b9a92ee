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
    /// Gossip updates in a frame of their own rather than on a probe, ack or digest.
    Gossip(GossipMessage),
    /// Compares two hosts' views.
    Digest(Digest),
    /// Requests the configuration.
    Fetch(Fetch),
    /// The configuration.
    Document(Document),
    /// Counts about versions and customers' demand, see [`Hop`](crate::Hop).
    Evidence(Evidence),
    /// Orders the given incarnation to drain.
    #[from(skip)]
    Drain(Identity),
    /// A frame without content. Hosts ignore it.
    #[from(skip)]
    Done,
    /// A message between the ledgers of two hosts, encoded by the ledger.
    #[from(skip)]
    Ledger(Payload),
    /// A message between the daemons of two hosts, encoded by the crate that runs them.
    #[from(skip)]
    Decide(Payload),
}

impl Frame {
    /// Returns the name of the frame's kind: the variant in snake case, except `news` for
    /// [`Self::Gossip`].
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
