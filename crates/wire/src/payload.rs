//! What one core says to its like on another host.

use serde::{Deserialize, Serialize};

use crate::Identity;

/// A message whose meaning is its core's business.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Payload {
    /// Who sends it.
    pub from: Identity,
    /// The message.
    pub bytes: Vec<u8>,
}
