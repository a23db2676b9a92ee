//! Customers: credentials and quotas.

use kernel::Revision;
use serde::{Deserialize, Serialize};

use crate::entry_check::EntryCheck;
use crate::schema::{Accepts, DefaultValue, Key, Section, Shape};
use crate::table::Table;
use crate::{Document, FaultKind, validate};

/// The credentials and quotas of a customer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Customer {
    /// The BLAKE3 hash of the customer's bearer key, 64 lower-case hex digits.
    /// The key itself is never part of the configuration.
    pub key_blake3: String,
    /// The sustained rate limit, in requests per second over all hosts.
    #[serde(rename = "rate_per_s", default = "Customer::default_rate")]
    pub rate: u32,
    /// The requests that may arrive at once above the rate.
    #[serde(default = "Customer::default_burst")]
    pub burst: u32,
    /// The limit of concurrent requests over all hosts.
    #[serde(default = "Customer::default_concurrency")]
    pub concurrency: u32,
    /// The customer's share of scarce capacity, relative to the weights of the
    /// other customers.
    #[serde(default = "Customer::default_weight")]
    pub weight: u32,
    /// The revision that last changed this entry; set by [`crate::Document::apply`].
    #[serde(default)]
    pub changed: Revision,
}

impl Customer {
    /// The default rate, in requests per second.
    pub const DEFAULT_RATE: u32 = 100;
    /// The default burst, in requests.
    pub const DEFAULT_BURST: u32 = 200;
    /// The default concurrency, in requests.
    pub const DEFAULT_CONCURRENCY: u32 = 200;
    /// The default weight.
    pub const DEFAULT_WEIGHT: u32 = 1;

    /// Returns the value of `key_blake3` for a bearer key.
    #[must_use]
    pub fn hash(key: &[u8]) -> String {
        blake3::hash(key).to_hex().to_string()
    }

    pub(crate) const SECTION: Section = Section {
        name: "",
        about: "the credentials and quotas of a customer",
        shape: Shape::One,
        keys: &[&KEY_BLAKE3, &RATE, &BURST, &CONCURRENCY, &WEIGHT],
        sections: &[],
    };

    pub(crate) fn read(table: &Table<'_>) -> Self {
        Self {
            key_blake3: table.text(&KEY_BLAKE3),
            rate: table.count(&RATE),
            burst: table.count(&BURST),
            concurrency: table.count(&CONCURRENCY),
            weight: table.count(&WEIGHT),
            changed: Revision(0),
        }
    }

    pub(crate) fn check(
        &self,
        check: &mut EntryCheck,
        name: &kernel::Customer,
        document: &Document,
    ) {
        if !validate::is_hash(&self.key_blake3) {
            // The value isn't shown: it may be the key itself, sent instead of its hash.
            check.report_value(&KEY_BLAKE3, "a value (hidden)");
        }
        // Of two customers with the same key, the one that was changed last has the fault.
        let mut others = document
            .customers
            .iter()
            .filter(|(other, _)| *other != name);
        let same_key =
            others.find(|(_, it)| it.key_blake3 == self.key_blake3 && it.changed <= self.changed);
        if let Some((other, _)) = same_key {
            let found = FaultKind::Value(format!("the key of customer {other}"));
            let accepted = "a key that no other customer has".into();
            check.report(KEY_BLAKE3.name, found, accepted);
        }
        check.integer(&RATE, self.rate.into());
        check.integer(&BURST, self.burst.into());
        check.integer(&CONCURRENCY, self.concurrency.into());
        check.integer(&WEIGHT, self.weight.into());
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

const KEY_BLAKE3: Key = Key {
    name: "key_blake3",
    accepts: Accepts::Hash,
    default: DefaultValue::Required,
    about: "the BLAKE3 hash of the customer's bearer key",
};

const RATE: Key = Key {
    name: "rate_per_s",
    accepts: Accepts::Integer {
        min: 1,
        max: 1_000_000,
    },
    default: DefaultValue::Integer(Customer::DEFAULT_RATE as u64),
    about: "the sustained rate limit over all hosts, in requests per second",
};

const BURST: Key = Key {
    name: "burst",
    accepts: Accepts::Integer {
        min: 1,
        max: 1_000_000,
    },
    default: DefaultValue::Integer(Customer::DEFAULT_BURST as u64),
    about: "the requests that may arrive at once above the rate",
};

const CONCURRENCY: Key = Key {
    name: "concurrency",
    accepts: Accepts::Integer {
        min: 1,
        max: 1_000_000,
    },
    default: DefaultValue::Integer(Customer::DEFAULT_CONCURRENCY as u64),
    about: "requests that may run at the same time over all hosts",
};

const WEIGHT: Key = Key {
    name: "weight",
    accepts: Accepts::Integer { min: 1, max: 1_000 },
    default: DefaultValue::Integer(Customer::DEFAULT_WEIGHT as u64),
    about: "the customer's share of scarce capacity, relative to the weights of the other customers",
};
