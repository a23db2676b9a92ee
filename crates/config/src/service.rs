//! What is known of a plain service.

use std::time::Duration;

use kernel::Revision;
use serde::{Deserialize, Serialize};

use crate::{Priority, Repeat};

/// A plain service beside the model engines, and which of its calls may run again.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// The time to the first byte of the answer.
    #[serde(
        rename = "first_byte_ms",
        with = "crate::millis",
        default = "Service::default_first_byte"
    )]
    pub first_byte: Duration,
    /// The time to the whole answer.
    #[serde(
        rename = "total_ms",
        with = "crate::millis",
        default = "Service::default_total"
    )]
    pub total: Duration,
    /// Its calls. The longest matching prefix decides; a call that no route
    /// matches runs at most once.
    #[serde(default)]
    pub routes: Vec<Route>,
    /// The revision that last changed this entry; set by [`crate::Document::apply`].
    #[serde(default)]
    pub changed: Revision,
}

impl Service {
    /// The time to the first byte for a service that names none.
    pub const DEFAULT_FIRST_BYTE: Duration = Duration::from_secs(2);
    /// The time to the whole answer for a service that names none.
    pub const DEFAULT_TOTAL: Duration = Duration::from_secs(10);

    /// The route of a call: of those that match, the one with the longest
    /// prefix, and among these the one that names the method.
    #[must_use]
    pub fn route(&self, method: &str, path: &str) -> Option<&Route> {
        self.routes
            .iter()
            .filter(|route| route.matches(method, path))
            .max_by_key(|route| (route.prefix.len(), route.method != Route::ANY))
    }

    fn default_first_byte() -> Duration {
        Self::DEFAULT_FIRST_BYTE
    }

    fn default_total() -> Duration {
        Self::DEFAULT_TOTAL
    }
}

/// The calls of a service with one method below one path.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Route {
    /// The method in upper case, or `ANY`.
    pub method: String,
    /// The beginning of the path, which ends at a whole segment.
    pub prefix: String,
    /// Whether such a call may run again.
    pub repeat: Repeat,
    /// The priority of a call that states none.
    #[serde(default)]
    pub priority: Priority,
}

impl Route {
    /// The method that stands for all methods.
    pub const ANY: &str = "ANY";

    fn matches(&self, method: &str, path: &str) -> bool {
        let method_fits = self.method == Self::ANY || self.method == method;
        let Some(rest) = path.strip_prefix(self.prefix.as_str()) else {
            return false;
        };
        method_fits && (rest.is_empty() || rest.starts_with('/') || self.prefix.ends_with('/'))
    }
}
