//! The closed set of what one host may say to another.

use derive_more::{From, IsVariant};
use serde::{Deserialize, Serialize};

use crate::{
    Ack, Answer, Bulletin, Digest, Document, Evidence, Fetch, Forward, Forwarded, Hold, Identity,
    Payload, Probe, ProbeRequest, Question, Release,
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
    /// Copies of billing records.
    Hold(Hold),
    /// The partner holds the copies.
    #[from(skip)]
    Held(Release),
    /// The table has the records.
    #[from(skip)]
    Release(Release),
    /// Asks what became of a request.
    Question(Question),
    /// What became of a request.
    Answer(Answer),
    /// Asks a request's home to run it.
    Forward(Forward),
    /// The home's answer to a forwarded request.
    Forwarded(Forwarded),
    /// Orders this incarnation to drain.
    #[from(skip)]
    Drain(Identity),
    /// Answers a frame that needs no other answer.
    #[from(skip)]
    Done,
    /// Answers a question that the receiver can't answer.
    #[from(skip)]
    Refused,
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
            Self::Hold(_) => "hold",
            Self::Held(_) => "held",
            Self::Release(_) => "release",
            Self::Question(_) => "question",
            Self::Answer(_) => "answer",
            Self::Forward(_) => "forward",
            Self::Forwarded(_) => "forwarded",
            Self::Drain(_) => "drain",
            Self::Done => "done",
            Self::Refused => "refused",
            Self::Ledger(_) => "ledger",
            Self::Decide(_) => "decide",
        }
    }
}
