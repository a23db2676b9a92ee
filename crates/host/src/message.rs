//! What hosts say to each other.

use std::time::Duration;

use route::directory::Absence;
use route::endpoint::Entry;
use route::{Evacuation, quarantine, rollout};
use serde::{Deserialize, Serialize};

use crate::Judgement;
use crate::gossip::{Comparison, Digest, Pulse, Record};
use crate::listing::{Change, Patch, Sketch};

/// What hosts say to each other.
///
/// The order of the variants is part of the binary form: new ones go to the end.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) enum Message {
    /// What a host knows, told several times a second.
    News(Box<News>),
    /// Asks for something.
    Ask(Question),
    /// The configuration, as operators wrote it.
    Config(Vec<u8>),
    /// The listing of endpoints.
    Listing(Listing),
    /// All that a host that has just started needs.
    Known(Box<Known>),
    /// What the other host knows of all hosts and the asking one doesn't.
    Comparison(Comparison),
    /// What was wanted of a comparison.
    Records(Vec<Record>),
    /// The host lives, and has nothing else to answer with.
    Nothing,
    /// What a host knows of endpoints that ended, and of requests that ended them.
    Ends(quarantine::News),
    /// What operators said of data centres.
    Evacuations(Vec<Evacuation>),
    /// What has changed in the listing of endpoints.
    ListingChange(ListingChange),
    /// The listing that was named isn't remembered.
    ListingForgotten,
    /// Where the listing of endpoints differs from the other host's.
    ListingPatch(ListingPatch),
}

/// What a host asks another for.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum Question {
    Config,
    Listing,
    /// Everything, for a host that has just started.
    Everything,
    /// What both know differently of the hosts.
    Comparison(Digest),
    /// Whether it lives.
    Life,
    /// What it knows of endpoints that ended.
    Ends,
    /// What has changed since the listing with this fingerprint.
    ListingSince(u64),
    /// Where the listing differs from one with this sketch.
    ListingPatch(Sketch),
}

/// What a host knows.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct News {
    /// Of the hosts.
    pub(crate) pulse: Pulse,
    /// The version of the configuration in force there.
    pub(crate) version: Option<u64>,
    /// How long ago the store last confirmed that version, as far as it knows.
    pub(crate) confirmed: Option<Duration>,
    /// Its listing of endpoints.
    pub(crate) listing: Option<ListingNews>,
    /// What it knows of roll-outs.
    pub(crate) rollouts: Vec<rollout::News>,
    /// What the store says of roll-outs.
    pub(crate) judgements: Vec<Judgement>,
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

/// What has changed in the listing of endpoints since one that the other host has.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct ListingChange {
    pub(crate) change: Change,
    pub(crate) absence: Absence,
    /// How long ago the listing was read that it leads to.
    pub(crate) age: Duration,
}

/// Where the listing of endpoints differs from the other host's.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct ListingPatch {
    pub(crate) patch: Patch,
    pub(crate) absence: Absence,
    /// How long ago the listing was read that it leads to.
    pub(crate) age: Duration,
}

/// All that a host knows. A host that took the configuration alone would serve by it
/// before it knows which release is on trial, which sessions stay off it, and which data
/// centres are emptied.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct Known {
    pub(crate) news: News,
    pub(crate) config: Option<Vec<u8>>,
    pub(crate) listing: Option<Listing>,
    pub(crate) evacuations: Vec<Evacuation>,
}
