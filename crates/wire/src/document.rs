//! Messages that transfer the configuration between hosts.

use kernel::Revision;
use serde::{Deserialize, Serialize};

use crate::{Age, Identity};

/// Requests the configuration if it is newer than the sender's.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Fetch {
    /// Identifies the request among those of its sender.
    pub sequence: u32,
    /// The sender.
    pub from: Identity,
    /// The revision in force at the sender, zero if it has none.
    pub newer_than: Revision,
}

/// The configuration, in response to [`Fetch`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Document {
    /// The sequence number of the request.
    pub sequence: u32,
    /// The document's revision.
    pub revision: Revision,
    /// The age of the sender's proof that the revision is the newest, see [`crate::Proof`].
    pub age: Option<Age>,
    /// The document as JSON.
    pub json: Vec<u8>,
}
