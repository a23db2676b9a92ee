//! Messages that other crates encode.

use serde::{Deserialize, Serialize};

use crate::Identity;

/// An encoded message to the same core on another host, opaque to this crate.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Payload {
    /// The sender.
    pub from: Identity,
    /// The encoded message.
    pub bytes: Vec<u8>,
}
