//! What spreads from host to host until all know it.

use kernel::{HostName, Incarnation, Revision};
use serde::{Deserialize, Serialize};

use crate::{Identity, Member, Verdict};

/// News as one host tells them.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Bulletin {
    /// How many hosts the teller reaches, itself included. What a host that
    /// reaches few says of others' absence tells more of itself.
    pub reach: u32,
    /// The pieces.
    pub news: Vec<News>,
}

/// One piece of news.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum News {
    /// A member joined or changed its state.
    Member(Member),
    /// A newer configuration exists.
    Revision(Newest),
    /// A version was quarantined or freed.
    Verdict(Verdict),
    /// An endpoint is leaving, gone, or was replaced.
    Endpoint(Endpoint),
}

/// Says that a revision exists and who holds its document.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Newest {
    /// The revision.
    pub revision: Revision,
    /// A host that has it in force.
    pub holder: Identity,
}

/// What a host learned of an endpoint before the lagging host list shows it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Endpoint {
    /// The endpoint.
    pub host: HostName,
    /// Which life of its process; a higher one replaces a lower one.
    pub incarnation: Incarnation,
    /// How it is.
    pub state: EndpointState,
}

/// How an endpoint is; a later state overrides an earlier one of the same incarnation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum EndpointState {
    /// It takes work.
    Live,
    /// It ends its work and takes none.
    Leaving,
    /// This incarnation has ended.
    Gone,
}
