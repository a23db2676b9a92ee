//! What is known of a customer.

use kernel::Revision;
use serde::{Deserialize, Serialize};

/// How a customer is recognised and how much it may ask for.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Customer {
    /// The BLAKE3 hash of the customer's bearer key, 64 lower-case hex digits.
    /// The key itself is never part of the configuration.
    pub key_blake3: String,
    /// Requests a second over all hosts.
    #[serde(rename = "rate_per_s", default = "Customer::default_rate")]
    pub rate: u32,
    /// Requests that may come at once above the rate.
    #[serde(default = "Customer::default_burst")]
    pub burst: u32,
    /// Requests that may run at the same time over all hosts.
    #[serde(default = "Customer::default_concurrency")]
    pub concurrency: u32,
    /// The customer's share when there is too little for all, against the
    /// weights of the others.
    #[serde(default = "Customer::default_weight")]
    pub weight: u32,
    /// The revision that last changed this entry; set by [`crate::Document::apply`].
    #[serde(default)]
    pub changed: Revision,
}

impl Customer {
    /// The rate of a customer whose entry names none, in requests a second.
    pub const DEFAULT_RATE: u32 = 100;
    /// The burst of a customer whose entry names none, in requests.
    pub const DEFAULT_BURST: u32 = 200;
    /// The concurrency of a customer whose entry names none, in requests.
    pub const DEFAULT_CONCURRENCY: u32 = 200;
    /// The weight of a customer whose entry names none.
    pub const DEFAULT_WEIGHT: u32 = 1;

    /// The hash to be kept in `key_blake3` for a bearer key.
    #[must_use]
    pub fn hash(key: &[u8]) -> String {
        blake3::hash(key).to_hex().to_string()
    }

    fn default_rate() -> u32 {
        Self::DEFAULT_RATE
    }

    fn default_burst() -> u32 {
        Self::DEFAULT_BURST
    }

    fn default_concurrency() -> u32 {
        Self::DEFAULT_CONCURRENCY
    }

    fn default_weight() -> u32 {
        Self::DEFAULT_WEIGHT
    }
}
