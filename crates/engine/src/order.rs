//! Orders that load and unload versions on engines.

use kernel::VersionId;
use serde::Serialize;

/// An order to an engine. It specifies the desired state and is therefore idempotent.
#[derive(Clone, Debug, Serialize)]
pub struct Order {
    /// The id under which the engine records the order.
    pub order: String,
    /// The fencing token of the lease under which the order is sent.
    pub fencing: u64,
    /// The version to load or unload.
    pub version: VersionId,
    /// The desired state of the version.
    pub wanted: Wanted,
}

/// The desired state of a version on an engine.
#[derive(Clone, Copy, Debug, Serialize, PartialEq, Eq, Hash)]
#[serde(rename_all = "snake_case")]
pub enum Wanted {
    /// Loaded and ready to serve requests.
    Loaded,
    /// Not loaded.
    Unloaded,
}

/// An engine's response to an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Receipt {
    /// The engine accepted the order.
    Taken,
    /// The engine has seen a higher fencing token, so the lease is no longer valid.
    StaleFencing,
}
