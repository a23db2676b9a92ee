//! The message by which two hosts compare their views (anti-entropy).

use serde::{Deserialize, Serialize};

use crate::{GossipMessage, Identity};

/// A summary of the sender's view. The receiver responds with its records in the buckets
/// that differ, which repairs lost gossip updates. If `reply` is set, the response is a
/// digest of the receiver's differing buckets.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Digest {
    /// The sender.
    pub from: Identity,
    /// The fingerprints of the sender's non-empty buckets. A response contains only the
    /// differing ones.
    pub buckets: Vec<Bucket>,
    /// The sender's own record, or in a response its records in the differing buckets.
    pub gossip_message: GossipMessage,
    /// Whether the receiver is asked to respond with a digest.
    pub reply: bool,
}

/// The fingerprint of the records whose keys fall into one bucket.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Bucket {
    /// The bucket's number.
    pub index: u8,
    /// A hash of its records, the same on all hosts that have the same records.
    pub hash: u32,
}
