//! What hosts say to each other.

use std::time::Duration;

use kernel::Incarnation;
use route::directory::Absence;
use route::endpoint::Entry;
use route::rollout;
use serde::{Deserialize, Serialize};

/// What hosts say to each other.
///
/// The order of the variants is part of the binary form: new ones go to the end.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) enum Message {
    /// What a host knows, told several times a second.
    News(News),
    /// Asks for the configuration.
    AskConfig,
    /// The configuration, as operators wrote it.
    Config(Vec<u8>),
    /// Asks for the listing of endpoints.
    AskListing,
    /// The listing of endpoints.
    Listing(Listing),
    /// The host has nothing to answer with.
    Nothing,
}

/// What a host knows.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct News {
    /// The life of its process.
    pub(crate) incarnation: Incarnation,
    /// Whether callers may be sent to it.
    pub(crate) is_ready: bool,
    /// The version of the configuration in force there.
    pub(crate) version: Option<u64>,
    /// Its listing of endpoints.
    pub(crate) listing: Option<ListingNews>,
    /// What it knows of roll-outs.
    pub(crate) rollouts: Vec<rollout::News>,
}

/// Which listing of endpoints a host goes by.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct ListingNews {
    /// How long ago it was read.
    pub(crate) age: Duration,
    /// What an absent entry means in it.
    pub(crate) absence: Absence,
    /// Tells it apart from others.
    pub(crate) fingerprint: u64,
}

/// The listing of endpoints, as the store had it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct Listing {
    pub(crate) entries: Vec<Entry>,
    pub(crate) absence: Absence,
    /// How long ago it was read.
    pub(crate) age: Duration,
}
