//! Operators' documents, and the hosts' verdicts on roll-outs.

use std::sync::Arc;

use kernel::{Release, ServiceName};
use route::rollout::{Order, Verdict};
use route::{Config, Evacuation, Revision};
use serde::{Deserialize, Serialize};

/// Operators' documents and verdicts on roll-outs: a snapshot, or the changes since a
/// revision.
#[derive(Clone, Debug, Default)]
pub struct Documents {
    /// The store's revision that this reflects.
    pub revision: Revision,
    /// The configuration, and its source text.
    pub config: Option<(Arc<Config>, Arc<[u8]>)>,
    /// Orders to roll a release out.
    pub orders: Vec<Order>,
    /// Evacuations of data centres; a snapshot has only those in force.
    pub evacuations: Vec<Evacuation>,
    /// Number of invalid documents. One of them must not hide the others.
    pub unreadable: usize,
    /// The verdicts on roll-outs.
    pub verdicts: Vec<RolloutVerdict>,
}

/// A verdict on a roll-out, read from the store or to be written to it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RolloutVerdict {
    /// The service.
    pub service: ServiceName,
    /// The release that was rolled out.
    pub release: Release,
    /// The verdict.
    pub verdict: Verdict,
    /// In a verdict read from the store, the revision at which it was written. In a verdict to
    /// write, the revision of the stored verdict that it replaces; `None` if there is none.
    pub revision: Option<Revision>,
}
