//! The default stand-ins and configuration of a scenario.

use serde_json::{Value, json};

/// The customer of calls without `customer=`.
pub(crate) const CUSTOMER: &str = "kivuli";
/// Prefix of a customer's bearer key; the customer's name follows.
pub(crate) const KEY_PREFIX: &str = "key-of-";
/// Bearer key of the operators.
pub(crate) const OPERATOR_KEY: &str = "the operators' key of a scenario";

/// An entry of the configuration.
pub(crate) struct ConfigEntry {
    pub(crate) kind: &'static str,
    pub(crate) name: &'static str,
    pub(crate) value: Value,
}

/// Returns the entries of the default configuration. An entry comes after those that it refers to.
pub(crate) fn entries() -> Vec<ConfigEntry> {
    vec![
        customer(CUSTOMER),
        customer("salt"),
        version("small@1", 100_000),
        version("big@1", 1_000_000),
        version("big@2", 1_000_000),
        profile("tag", &["small@1"], "idempotent"),
        profile("dossier", &["big@1", "big@2"], "idempotent"),
        profile("chat", &["small@1", "big@1"], "idempotent"),
        profile("entry", &["big@1"], "at_most_once"),
        ConfigEntry {
            kind: "services",
            name: "seats",
            value: json!({"routes": [
                {
                    "method": "POST",
                    "prefix": "/holds",
                    "repeat": "at_most_once",
                    "priority": "urgent",
                },
                {"method": "GET", "prefix": "/", "repeat": "idempotent", "priority": "urgent"},
            ]}),
        },
    ]
}

/// Settings of the stand-ins except the engines.
pub(crate) const STAND_IN_SETTINGS: &str = r#"
seed = 7

[versions."small@1"]
good = { default = 0.95 }
confidence = 0.9
price_prompt = 100000
price_completion = 100000
words = 8
token_us = 1000

[versions."big@1"]
good = { default = 1.0 }
confidence = 0.9
price_prompt = 1000000
price_completion = 1000000
words = 8
token_us = 1000

[versions."big@2"]
good = { default = 1.0 }
confidence = 0.9
price_prompt = 1000000
price_completion = 1000000
words = 8
token_us = 1000

[[table]]
name = "table"

[[objects]]
name = "objects"

[[hosts]]
name = "hosts"

[[rating]]
name = "rating"

[[service]]
name = "seats-1"
service = "seats"
data_centre = "dc-a"
slots = 32
queue = 64

[[service]]
name = "seats-2"
service = "seats"
data_centre = "dc-b"
slots = 32
queue = 64
"#;

/// The engines of a scenario.
pub(crate) struct Engines {
    pub(crate) count: usize,
    /// Whether the engines refuse orders with an old fencing number.
    pub(crate) fences: bool,
    /// Time to load a version.
    pub(crate) load_ms: u64,
}

impl Engines {
    /// Returns the engines' part of the stand-ins' settings.
    pub(crate) fn settings(&self) -> String {
        (0..self.count).map(|idx| self.engine(idx)).collect()
    }

    fn engine(&self, idx: usize) -> String {
        let data_centre = ["dc-a", "dc-b", "dc-c"][idx % 3];
        format!(
            "\n[[engine]]\nname = \"engine-{number}\"\ndata_centre = \"{data_centre}\"\n\
             slots = 16\nqueue = 32\nfences = {fences}\nload_ms = {load_ms}\n\
             versions = [\"small@1\", \"big@1\", \"big@2\"]\n",
            number = idx + 1,
            fences = self.fences,
            load_ms = self.load_ms,
        )
    }
}

fn customer(name: &'static str) -> ConfigEntry {
    let value = json!({
        "key_blake3": key_hash(name),
        "rate_per_s": 10_000,
        "burst": 10_000,
        "concurrency": 1_000,
    });
    ConfigEntry {
        kind: "customers",
        name,
        value,
    }
}

/// Replaces the field `key_of`, a customer's name, by `key_blake3`, the hash of its key.
pub(crate) fn with_key(mut value: Value) -> Value {
    if let Some(name) = value.as_object_mut().and_then(|it| it.remove("key_of")) {
        value["key_blake3"] = json!(key_hash(name.as_str().unwrap_or_default()));
    }
    value
}

fn key_hash(name: &str) -> String {
    let key = format!("{KEY_PREFIX}{name}");
    blake3::hash(key.as_bytes()).to_hex().to_string()
}

fn version(name: &'static str, price: u64) -> ConfigEntry {
    let value = json!({
        "state": "active",
        "prompt_microcents_per_million": price,
        "completion_microcents_per_million": price,
    });
    ConfigEntry {
        kind: "versions",
        name,
        value,
    }
}

fn profile(name: &'static str, allow: &[&str], repeat: &str) -> ConfigEntry {
    let value = json!({
        "allow": allow,
        "quality": 0.9,
        "cost_cap_microcents": 1_000_000_000,
        "repeat": repeat,
        "when_stale": "serve",
        "customers": {CUSTOMER: {}, "salt": {}},
    });
    ConfigEntry {
        kind: "profiles",
        name,
        value,
    }
}
