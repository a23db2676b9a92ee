//! The comparison of two hosts' views, so that lost news is repaired.

use serde::{Deserialize, Serialize};

use crate::{Bulletin, Identity};

/// A summary of the sender's view. The receiver answers with the news of those
/// buckets that differ, and with its own digest where `reply` asks for it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Digest {
    /// Who compares.
    pub from: Identity,
    /// The fingerprint of each non-empty bucket.
    pub buckets: Vec<Bucket>,
    /// What the sender knows in the buckets that the other's digest showed to differ.
    pub bulletin: Bulletin,
    /// Whether the receiver is asked for the news of the differing buckets.
    pub reply: bool,
}

/// The fingerprint of the records whose keys fall into one bucket.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Bucket {
    /// The bucket's number.
    pub index: u8,
    /// A hash over its records; equal records give equal hashes on all hosts.
    pub hash: u32,
}
