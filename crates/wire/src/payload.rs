//! Messages that other crates encode.

use serde::{Deserialize, Serialize};

use crate::Identity;

/// A message that another crate encodes, for the same crate on another host; opaque to
/// this one.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Payload {
    /// The sender.
    pub from: Identity,
    /// The encoded message.
    pub bytes: Vec<u8>,
}
