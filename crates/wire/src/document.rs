//! How the configuration passes between hosts.

use kernel::Revision;
use serde::{Deserialize, Serialize};

use crate::{Age, Identity};

/// Asks for the configuration if it is newer than the asker's.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Fetch {
    /// Names this question among those of its sender.
    pub sequence: u32,
    /// Who asks.
    pub from: Identity,
    /// The revision in force at the asker; zero when it has none.
    pub newer_than: Revision,
}

/// The configuration, in answer to [`Fetch`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Document {
    /// The question that is answered.
    pub sequence: u32,
    /// The document's revision.
    pub revision: Revision,
    /// The age of the answerer's proof that the revision is the newest.
    pub age: Option<Age>,
    /// The document as JSON.
    pub json: Vec<u8>,
}
