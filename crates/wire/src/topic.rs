//! The topics of evidence.

use std::sync::Arc;

use kernel::{Customer, VersionId};
use serde::{Deserialize, Serialize};

/// The subject of counts.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Topic {
    /// A version, for one request class.
    Version {
        /// The version.
        version: VersionId,
        /// The request class.
        class: Arc<str>,
    },
    /// A customer's demand.
    Customer(Customer),
}
