//! The leniency of the filter of endpoints.

use derive_more::Display;
use serde::{Deserialize, Serialize};

/// The leniency of the filter of endpoints, from the strictest to the most lenient. Each level also
/// admits the endpoints of the previous ones.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Leniency {
    /// Endpoints that were neither tried before nor are ejected.
    #[display("healthy")]
    Healthy,
    /// Endpoints that were not tried before.
    #[display("untried")]
    Untried,
    /// All endpoints that accept requests and haven't refused this one.
    #[display("any")]
    Any,
}

impl Leniency {
    /// All variants, the strictest first.
    pub(super) const ALL: [Self; 3] = [Self::Healthy, Self::Untried, Self::Any];
}
