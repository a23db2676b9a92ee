//! Who speaks.

use derive_more::Display;
use kernel::{HostName, Incarnation};
use serde::{Deserialize, Serialize};

/// One life of a host's process.
#[derive(Clone, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[display("{host}#{incarnation}")]
pub struct Identity {
    /// The host, as its certificate names it.
    pub host: HostName,
    /// Which life of its process.
    pub incarnation: Incarnation,
}
