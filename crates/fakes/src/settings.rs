//! The TOML settings file of the stand-ins; see `docs/operate/stand-ins.md`.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

/// The contents of a settings file.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// The seed of all random numbers.
    #[serde(default)]
    pub seed: u64,
    /// The actual quality, price and speed of each version, hidden from the router under test.
    #[serde(default)]
    pub versions: BTreeMap<String, GroundTruth>,
    /// Table services.
    #[serde(default)]
    pub table: Vec<StoreSettings>,
    /// Object stores.
    #[serde(default)]
    pub objects: Vec<StoreSettings>,
    /// Host lists.
    #[serde(default)]
    pub hosts: Vec<HostListSettings>,
    /// Model engines.
    #[serde(default)]
    pub engine: Vec<EngineSettings>,
    /// Endpoints of plain services.
    #[serde(default)]
    pub service: Vec<PlainServiceSettings>,
    /// Rating services.
    #[serde(default)]
    pub rating: Vec<RatingSettings>,
}

/// The actual quality, price and speed of a version.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct GroundTruth {
    /// The probability that a response is good, by request class; the class `default` stands for
    /// all others. The probability is 1 if neither is given.
    pub good: BTreeMap<String, f64>,
    /// Weight of the response's quality in the reported confidence: from 0 (the confidence doesn't
    /// depend on whether the response is good) to 1 (it depends on that only, apart from noise).
    pub confidence: f64,
    /// Price of a million prompt tokens in microcents.
    pub price_prompt: u64,
    /// Price of a million completion tokens in microcents.
    pub price_completion: u64,
    /// Words in a response besides the marks, at most the request's `max_tokens`.
    pub words: u64,
    /// Processing time of a prompt token that is not cached, in microseconds.
    pub prompt_us: u64,
    /// Delay per chunk, in microseconds; a stream's first chunk has none.
    pub token_us: u64,
}

/// A table service or an object store.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct StoreSettings {
    /// The stand-in's name.
    pub name: String,
    /// The address to listen on; port 0 takes a free port.
    #[serde(default = "default_address")]
    pub address: String,
}

/// A host list.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct HostListSettings {
    /// The stand-in's name.
    pub name: String,
    /// The address to listen on; port 0 takes a free port.
    #[serde(default = "default_address")]
    pub address: String,
    /// The lag after which a change becomes visible.
    #[serde(default)]
    pub lag_ms: u64,
}

/// A model engine.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EngineSettings {
    /// The stand-in's name, also in the host list.
    pub name: String,
    /// The address to listen on; port 0 takes a free port.
    #[serde(default = "default_address")]
    pub address: String,
    /// The data centre of the endpoint.
    pub data_centre: String,
    /// The region of the data centre.
    #[serde(default = "default_region")]
    pub region: String,
    /// The incarnation of the endpoint.
    #[serde(default = "default_incarnation")]
    pub incarnation: u64,
    /// Maximum number of requests that run at the same time.
    pub slots: usize,
    /// Maximum queue length; further requests are refused as overloaded.
    #[serde(default)]
    pub queue: usize,
    /// The versions that are loaded initially.
    pub versions: Vec<String>,
    /// Whether orders that carry an old fencing number are refused.
    #[serde(default)]
    pub fences: bool,
    /// Time to load a version.
    #[serde(default)]
    pub load_ms: u64,
    /// The lag of `running` and `waiting` in the load report, reported as its age.
    #[serde(default)]
    pub load_lag_ms: u64,
    /// Capacity of the prefix cache; 0 disables it.
    #[serde(default)]
    pub prefixes: usize,
}

/// An endpoint of a plain service.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PlainServiceSettings {
    /// The stand-in's name, also in the host list.
    pub name: String,
    /// The service that the endpoint serves.
    pub service: String,
    /// The address to listen on; port 0 takes a free port.
    #[serde(default = "default_address")]
    pub address: String,
    /// The data centre of the endpoint.
    pub data_centre: String,
    /// The region of the data centre.
    #[serde(default = "default_region")]
    pub region: String,
    /// The incarnation of the endpoint.
    #[serde(default = "default_incarnation")]
    pub incarnation: u64,
    /// Maximum number of calls that run at the same time.
    pub slots: usize,
    /// Maximum queue length; further requests are refused as overloaded.
    #[serde(default)]
    pub queue: usize,
    /// Duration of a call.
    #[serde(default)]
    pub work_ms: u64,
    /// The lag of `running` and `waiting` in the load report, reported as its age.
    #[serde(default)]
    pub load_lag_ms: u64,
}

/// A rating service.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RatingSettings {
    /// The stand-in's name.
    pub name: String,
    /// The address to listen on; port 0 takes a free port.
    #[serde(default = "default_address")]
    pub address: String,
    /// The delay of each rating.
    #[serde(default)]
    pub late_ms: u64,
    /// The share of ratings that are inverted.
    #[serde(default)]
    pub noise: f64,
    /// The share of ratings that are never delivered.
    #[serde(default)]
    pub never: f64,
}

impl Settings {
    /// Parses the text of a settings file.
    ///
    /// # Errors
    ///
    /// Returns the parser's error, which names the line and the key.
    pub fn parse(text: &str) -> Result<Self, toml::de::Error> {
        toml::from_str(text)
    }
}

impl GroundTruth {
    /// Returns the probability that a response to a request of `class` is good.
    #[must_use]
    pub fn good_probability(&self, class: &str) -> f64 {
        let default = || self.good.get("default");
        self.good
            .get(class)
            .or_else(default)
            .copied()
            .unwrap_or(1.0)
    }
}

impl Default for GroundTruth {
    fn default() -> Self {
        Self {
            good: BTreeMap::new(),
            confidence: 0.8,
            price_prompt: 0,
            price_completion: 0,
            words: 10,
            prompt_us: 0,
            token_us: 0,
        }
    }
}

fn default_address() -> String {
    "127.0.0.1:0".to_owned()
}

fn default_region() -> String {
    "local".to_owned()
}

fn default_incarnation() -> u64 {
    1
}
