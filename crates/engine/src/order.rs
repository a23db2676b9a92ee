//! Orders to engines.

use kernel::VersionId;
use serde::Serialize;

/// An order. It names the wanted state, so that giving it again is harmless.
#[derive(Clone, Debug, Serialize)]
pub struct Order {
    /// The order's name, for the engine's record.
    pub order: String,
    /// The fencing number of the lease under which it is given.
    pub fencing: u64,
    /// The version.
    pub version: VersionId,
    /// What it is to become.
    pub wanted: Wanted,
}

/// What a version is to become on an engine.
#[derive(Clone, Copy, Debug, Serialize, PartialEq, Eq, Hash)]
#[serde(rename_all = "snake_case")]
pub enum Wanted {
    /// Ready to answer.
    Loaded,
    /// Gone.
    Unloaded,
}

/// What an engine says to an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Receipt {
    /// It carries it out.
    Taken,
    /// It has seen a higher fencing number; the lease has passed on.
    StaleFencing,
}
