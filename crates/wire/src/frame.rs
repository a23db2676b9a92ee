//! The closed set of what one host may say to another.

use derive_more::{From, IsVariant};
use serde::{Deserialize, Serialize};

use crate::{
    Ack, Bulletin, Digest, Document, Evidence, Fetch, Identity, Payload, Probe, ProbeRequest,
};

/// One message between two hosts.
///
/// The order of the variants is part of the binary form: new ones go to the end.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, From, IsVariant)]
pub enum Frame {
    /// Asks whether a host lives.
    Probe(Probe),
    /// Answers a probe.
    Ack(Ack),
    /// Asks a third host to probe.
    ProbeRequest(ProbeRequest),
    /// News, pushed at once.
    News(Bulletin),
    /// Compares views.
    Digest(Digest),
    /// Asks for the configuration.
    Fetch(Fetch),
    /// The configuration.
    Document(Document),
    /// Counts to be pooled.
    Evidence(Evidence),
    /// Orders this incarnation to drain.
    #[from(skip)]
    Drain(Identity),
    /// Answers a frame that needs no other answer.
    #[from(skip)]
    Done,
    /// A message between the ledgers of two hosts, in the ledger's form.
    #[from(skip)]
    Ledger(Payload),
    /// What the decision core of a host tells those of the others, in its form.
    #[from(skip)]
    Decide(Payload),
}

impl Frame {
    /// A name for counters.
    #[must_use]
    pub fn kind(&self) -> &'static str {
        match self {
            Self::Probe(_) => "probe",
            Self::Ack(_) => "ack",
            Self::ProbeRequest(_) => "probe_request",
            Self::News(_) => "news",
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
