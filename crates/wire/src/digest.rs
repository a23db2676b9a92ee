//! The message by which two hosts compare their views (anti-entropy).

use serde::{Deserialize, Serialize};

use crate::{GossipMessage, Identity};

/// A summary of the sender's view (its records of members, verdicts and endpoints). The
/// receiver responds with its records in the buckets that differ, which repairs lost gossip
/// updates. It leaves out dead members and records that the digest contained. If
/// `wants_response` is false, the records are sent as
/// [`Frame::Gossip`](crate::Frame::Gossip), if there are any.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Digest {
    /// The sender.
    pub from: Identity,
    /// The fingerprints of the sender's buckets: in a request of those that aren't empty, in
    /// a response of those that differ, also empty ones.
    pub buckets: Vec<Bucket>,
    /// The sender's own record, or in a response its records in the differing buckets and its
    /// configuration revision.
    pub gossip_message: GossipMessage,
    /// Whether the receiver is asked to respond with a digest.
    pub wants_response: bool,
}

/// The fingerprint of the records whose keys fall into one bucket.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Bucket {
    /// The bucket's number.
    pub index: u8,
    /// A hash of its records, the same on all hosts that have the same records.
    pub hash: u32,
}
