//! Observations of versions, as exchanged between hosts.

use kernel::VersionId;
use serde::{Deserialize, Serialize};

use crate::{endpoint, key};

/// The number of confidence buckets.
pub const BUCKETS: usize = 12;

/// The observations of one host. The counts are increments since it last
/// published, so each message must be delivered to a host at most once; in a
/// [digest](crate::Decider::digest) they are decayed totals.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Evidence {
    /// One entry for each version and class with observations.
    pub items: Vec<Item>,
    /// One entry for each class with requests.
    pub turns: Vec<ClassRequests>,
}

/// The numbers of requests of a class, with and without a version pinned by the
/// session.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct ClassRequests {
    /// The class.
    pub class: key::Class,
    /// Requests without a pinned version.
    pub free: u32,
    /// Requests with a pinned version.
    pub pinned: u32,
}

/// Observations of one version in one class.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Item {
    /// The version.
    pub version: VersionId,
    /// The class.
    pub class: key::Class,
    /// Complete responses of first steps by confidence bucket, including those of all
    /// probes and explorations.
    pub answered: [u32; BUCKETS],
    /// Complete responses of later steps by confidence bucket: those received after
    /// another response to the request was kept as fallback.
    pub later_answered: [u32; BUCKETS],
    /// Failures attributed to the version.
    pub failed: u32,
    /// Up to two endpoints where the failures happened, to tell a broken endpoint
    /// from a broken version.
    pub failed_at: [Option<endpoint::Id>; 2],
    /// Good ratings of first steps by confidence bucket.
    pub good: [u32; BUCKETS],
    /// Bad ratings of first steps by confidence bucket.
    pub bad: [u32; BUCKETS],
    /// Good ratings of later steps by confidence bucket.
    pub later_good: [u32; BUCKETS],
    /// Bad ratings of later steps by confidence bucket.
    pub later_bad: [u32; BUCKETS],
    /// The total completion tokens of the responses.
    pub completion_tokens: u64,
    /// The total latency of the responses in milliseconds.
    pub latency_ms: u64,
}
