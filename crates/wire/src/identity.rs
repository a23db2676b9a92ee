//! The identity of a host's process.

use derive_more::Display;
use kernel::{HostName, Incarnation};
use serde::{Deserialize, Serialize};

/// A host and one incarnation of its process.
#[derive(Clone, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[display("{host}#{incarnation}")]
pub struct Identity {
    /// The name in the host's certificate.
    pub host: HostName,
    /// The incarnation of its process.
    pub incarnation: Incarnation,
}
