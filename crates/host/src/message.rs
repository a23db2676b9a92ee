//! Messages between hosts.

use std::time::Duration;

use kernel::EndpointId;
use route::{Evacuation, Revision, quarantine, rate_limit, rollout};
use serde::{Deserialize, Serialize};

use crate::RolloutVerdict;
use crate::gossip::{Comparison, Digest, MembershipUpdate, Record};
use crate::listing::{Block, Change, Patch, Sketch};

/// A message between hosts.
///
/// The order of the variants is part of the binary encoding: add new ones at the end.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) enum Message {
    /// A host's state, sent twice a second and when something changes.
    StateUpdate(Box<StateUpdate>),
    /// A request, which gets one response.
    Request(Request),
    /// The configuration in the operators' original text.
    Config(Vec<u8>),
    /// A page of the listing of endpoints.
    ListingPage(ListingPage),
    /// The full state for a host that has just started.
    FullState(Box<FullState>),
    /// The result of a roster comparison.
    Comparison(Comparison),
    /// The records that a comparison asked for.
    Records(Vec<Record>),
    /// A response without content: to a ping, or if the host doesn't have what was requested.
    Empty,
    /// Process exits of endpoints, and the quarantined requests that caused them.
    Quarantine(quarantine::Update),
    /// Evacuation orders for data centres.
    Evacuations(Vec<Evacuation>),
    /// Changes of the listing of endpoints since an earlier one.
    ListingChange(ListingChange),
    /// The changes since the requested listing are no longer available.
    ListingChangesUnavailable,
    /// A patch from the requesting host's listing of endpoints to the sender's.
    ListingPatch(ListingPatch),
    /// Request rates that endpoints state.
    RateLimits(Vec<rate_limit::Report>),
}

/// A request to another host.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum Request {
    Config,
    /// The entries of the listing after this endpoint, or the first ones.
    ListingPage(Option<EndpointId>),
    /// The full state, for a host that has just started.
    FullState,
    /// A comparison of the rosters.
    Compare(Digest),
    /// A probe whether the host is alive.
    Ping,
    /// Process exits of endpoints and quarantined requests.
    Quarantine,
    /// The changes since the listing with this fingerprint.
    ListingSince(u64),
    /// A patch for the listing that this sketch describes.
    ListingPatch(Sketch),
}

/// A host's state, as sent to its neighbours.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct StateUpdate {
    /// Membership changes.
    pub(crate) membership: MembershipUpdate,
    /// The version of the sender's configuration.
    pub(crate) version: Option<u64>,
    /// Time since the store last had that version, as far as the sender knows.
    pub(crate) confirmed: Option<Duration>,
    /// The sender's listing of endpoints.
    pub(crate) listing: Option<ListingStatus>,
    /// Updates on roll-outs.
    pub(crate) rollouts: Vec<rollout::Update>,
    /// Verdicts on roll-outs that the store holds.
    pub(crate) verdicts: Vec<RolloutVerdict>,
}

/// Summary of the listing of endpoints that a host uses.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct ListingStatus {
    /// Time since it was read from the store or confirmed.
    pub(crate) age: Duration,
    /// Fingerprint of its entries.
    pub(crate) fingerprint: u64,
    /// The store's revision from which on changes have to be read to keep it current.
    pub(crate) revision: Revision,
    /// The time up to `age` for which readings show that the store had no outage.
    pub(crate) covered: Duration,
}

/// A page of the listing of endpoints that the sender uses.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct ListingPage {
    pub(crate) entries: Block,
    /// Whether no entries follow.
    pub(crate) is_last: bool,
}

/// The changes from the requesting host's listing of endpoints to the sender's.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct ListingChange {
    pub(crate) change: Change,
    pub(crate) status: ListingStatus,
}

/// A patch from the requesting host's listing of endpoints to the sender's.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct ListingPatch {
    pub(crate) patch: Patch,
    pub(crate) status: ListingStatus,
}

/// The full state of a host, except quarantined requests and the listing of endpoints, which are
/// requested separately. It is sent as a whole because a host that had only the configuration would serve requests
/// without knowing which release is on trial, which sessions are kept off it, which data centres
/// are evacuated, and how many requests endpoints take.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct FullState {
    pub(crate) update: StateUpdate,
    pub(crate) config: Option<Vec<u8>>,
    pub(crate) evacuations: Vec<Evacuation>,
    pub(crate) rate_limits: Vec<rate_limit::Report>,
}
