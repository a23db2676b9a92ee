//! What hosts say to each other.

use std::time::Duration;

use kernel::Incarnation;
use route::directory::Absence;
use route::endpoint::Entry;
use route::rollout;
use serde::{Deserialize, Serialize};

use crate::peers::Heartbeat;
use crate::{Judgement, Member};

/// What hosts say to each other.
///
/// The order of the variants is part of the binary form: new ones go to the end.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) enum Message {
    /// What a host knows, told several times a second.
    News(Box<News>),
    /// Asks for something that the other host has newer.
    Ask(Question),
    /// The configuration, as operators wrote it.
    Config(Vec<u8>),
    /// The listing of endpoints.
    Listing(Listing),
    /// The listing of hosts.
    Members(Members),
    /// The host has nothing to answer with.
    Nothing,
}

/// What a host asks another for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub(crate) enum Question {
    Config,
    Listing,
    Members,
}

/// What a host knows.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct News {
    /// The life of its process.
    pub(crate) incarnation: Incarnation,
    /// The host itself, while others may not have read its entry.
    pub(crate) own: Option<Member>,
    /// Whether callers may be sent to it.
    pub(crate) is_ready: bool,
    /// The version of the configuration in force there.
    pub(crate) version: Option<u64>,
    /// How long ago the store last confirmed that version, as far as it knows.
    pub(crate) confirmed: Option<Duration>,
    /// Its listing of endpoints.
    pub(crate) listing: Option<ListingNews>,
    /// Its listing of hosts.
    pub(crate) members: Option<Stamp>,
    /// What it knows of roll-outs.
    pub(crate) rollouts: Vec<rollout::News>,
    /// What the store says of roll-outs.
    pub(crate) judgements: Vec<Judgement>,
    /// When it heard of the others.
    pub(crate) heartbeats: Vec<Heartbeat>,
}

/// Which of several readings a host goes by.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Stamp {
    /// How long ago it was read.
    pub(crate) age: Duration,
    /// Tells it apart from others.
    pub(crate) fingerprint: u64,
}

/// Which listing of endpoints a host goes by.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct ListingNews {
    pub(crate) stamp: Stamp,
    /// What an absent entry means in it.
    pub(crate) absence: Absence,
}

/// The listing of endpoints, as the store had it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct Listing {
    pub(crate) entries: Vec<Entry>,
    pub(crate) absence: Absence,
    /// How long ago it was read.
    pub(crate) age: Duration,
}

/// The listing of hosts, as the store had it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct Members {
    pub(crate) members: Vec<Member>,
    /// How long ago it was read.
    pub(crate) age: Duration,
}
