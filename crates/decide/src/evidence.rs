//! What hosts tell each other of versions.

use kernel::VersionId;
use serde::{Deserialize, Serialize};

use crate::{endpoint, key};

/// The number of confidence buckets.
pub const BUCKETS: usize = 12;

/// What one host has seen since it last published. Counts are differences: each
/// is to be delivered to each other host at most once.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Evidence {
    /// One entry for each version and class that something happened to.
    pub items: Vec<Item>,
    /// One entry for each class that requests of came in.
    pub turns: Vec<Turns>,
}

/// How many requests of a class came, and how many of them in a session with a
/// version.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Turns {
    /// The class.
    pub class: key::Class,
    /// Requests without a version.
    pub free: u32,
    /// Requests that came with one.
    pub pinned: u32,
}

/// What happened to one version in one class.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Item {
    /// The version.
    pub version: VersionId,
    /// The class.
    pub class: key::Class,
    /// Whole answers of first steps by confidence bucket.
    pub answered: [u32; BUCKETS],
    /// The same to requests for which another version's answer was rejected.
    pub later_answered: [u32; BUCKETS],
    /// Failures that speak against the version.
    pub failed: u32,
    /// Of the failures, two endpoints where they happened, so that one broken
    /// endpoint isn't taken for a broken version.
    pub failed_at: [Option<endpoint::Id>; 2],
    /// Good ratings of first steps by confidence bucket.
    pub good: [u32; BUCKETS],
    /// Bad ratings of first steps by confidence bucket.
    pub bad: [u32; BUCKETS],
    /// Good ratings of later steps by confidence bucket.
    pub later_good: [u32; BUCKETS],
    /// Bad ratings of later steps by confidence bucket.
    pub later_bad: [u32; BUCKETS],
    /// The sum of the completion tokens of the answers.
    pub completion_tokens: u64,
    /// The sum of the answers' latencies in milliseconds.
    pub latency_ms: u64,
}
