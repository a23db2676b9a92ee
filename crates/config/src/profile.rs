//! What a profile states.

use std::collections::BTreeMap;
use std::time::Duration;

use derive_more::Display;
use kernel::{Customer, Money, Revision, VersionId};
use serde::{Deserialize, Serialize};

use crate::{Priority, Repeat};

/// Which versions may answer, how good the answer has to be and what it may cost.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Profile {
    /// The versions that may answer, in no particular order.
    pub allow: Vec<VersionId>,
    /// The share of answers, 0 to 1, that have to be rated good.
    pub quality: f64,
    /// What one request may cost at most, in microcents.
    #[serde(rename = "cost_cap_microcents")]
    pub cost_cap: Money,
    /// Whether a request may run again.
    pub repeat: Repeat,
    /// The priority of a request that states none.
    #[serde(default)]
    pub priority: Priority,
    /// The time to the whole answer for a request that states none.
    #[serde(
        rename = "deadline_ms",
        with = "crate::millis",
        default = "Profile::default_deadline"
    )]
    pub deadline: Duration,
    /// The most completion tokens that a request may ask for, and what it gets
    /// when it asks for none.
    #[serde(default = "Profile::default_max_tokens")]
    pub max_tokens: u32,
    /// What a host does that can't prove its configuration to be the newest.
    #[serde(default)]
    pub when_stale: WhenStale,
    /// The customers who may use the profile.
    #[serde(default)]
    pub customers: BTreeMap<Customer, Grant>,
    /// The revision that last changed this entry; set by [`crate::Document::apply`].
    #[serde(default)]
    pub changed: Revision,
}

impl Profile {
    /// The deadline of a profile that names none.
    pub const DEFAULT_DEADLINE: Duration = Duration::from_secs(30);
    /// The `max_tokens` of a profile that names none.
    pub const DEFAULT_MAX_TOKENS: u32 = 1024;

    /// The versions that `customer` may be answered by, or nothing when it
    /// may not use this profile. Withdrawn versions are not taken out here;
    /// see [`crate::Document::usable`].
    #[must_use]
    pub fn allowed(&self, customer: &Customer) -> Option<&[VersionId]> {
        let grant = self.customers.get(customer)?;
        Some(grant.allow.as_deref().unwrap_or(&self.allow))
    }

    fn default_deadline() -> Duration {
        Self::DEFAULT_DEADLINE
    }

    fn default_max_tokens() -> u32 {
        Self::DEFAULT_MAX_TOKENS
    }
}

/// One customer's leave to use a profile.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Grant {
    /// The part of the profile's versions that may answer this customer; all
    /// of them when absent.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub allow: Option<Vec<VersionId>>,
}

/// What a host does with a request while it can't prove that its
/// configuration is the newest one.
#[derive(Clone, Copy, Debug, Default, Display, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum WhenStale {
    /// Answers by the configuration it has.
    #[display("serve")]
    Serve,
    /// Refuses with the reason `stale`.
    #[default]
    #[display("refuse")]
    Refuse,
}
