//! What operators wrote, and what hosts found about it.

use std::sync::Arc;

use kernel::{Release, ServiceName};
use route::rollout::{Order, Verdict};
use route::{Config, Evacuation, Revision};
use serde::{Deserialize, Serialize};

/// What operators wrote, and what hosts found about it: all of it, or what
/// changed since a revision.
#[derive(Clone, Debug, Default)]
pub struct Documents {
    /// The store's revision that this shows.
    pub revision: Revision,
    /// The configuration, and its text as operators wrote it.
    pub config: Option<(Arc<Config>, Arc<[u8]>)>,
    /// Orders to roll a release out.
    pub orders: Vec<Order>,
    /// What operators said of data centres; of all documents, only those that are emptied.
    pub evacuations: Vec<Evacuation>,
    /// How many documents couldn't be read. One that can't must not hide the others.
    pub unreadable: usize,
    /// What roll-outs have come to.
    pub judgements: Vec<Judgement>,
}

/// What a roll-out has come to, as the store has it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Judgement {
    /// The service.
    pub service: ServiceName,
    /// The release that was rolled out.
    pub release: Release,
    /// What it has come to.
    pub verdict: Verdict,
    /// When this was written; none for what hasn't been yet.
    pub revision: Option<Revision>,
}
