//! Which stand-ins to run, as one TOML file; see `docs/operate/stand-ins.md`.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

/// The whole file.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Every random number comes from this.
    #[serde(default)]
    pub seed: u64,
    /// What the versions really do, which the system under test never sees.
    #[serde(default)]
    pub versions: BTreeMap<String, Truth>,
    /// Table services.
    #[serde(default)]
    pub table: Vec<StoreSettings>,
    /// Object stores.
    #[serde(default)]
    pub objects: Vec<StoreSettings>,
    /// Host lists.
    #[serde(default)]
    pub hosts: Vec<HostsSettings>,
    /// Model engines.
    #[serde(default)]
    pub engine: Vec<EngineSettings>,
    /// Endpoints of plain services.
    #[serde(default)]
    pub service: Vec<PlainSettings>,
    /// Rating services.
    #[serde(default)]
    pub rating: Vec<RatingSettings>,
}

/// What is true of a version.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Truth {
    /// For each request class the probability that an answer is good; the class
    /// `default` stands for all others.
    pub good: BTreeMap<String, f64>,
    /// How much the reported confidence tells: 0 nothing, 1 everything.
    pub confidence: f64,
    /// Microcents for a million prompt tokens.
    pub price_prompt: u64,
    /// Microcents for a million completion tokens.
    pub price_completion: u64,
    /// Words in an answer.
    pub words: u64,
    /// Microseconds for one prompt token that is not cached.
    pub prompt_us: u64,
    /// Microseconds for one generated token.
    pub token_us: u64,
}

/// A table service or an object store.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct StoreSettings {
    /// The stand-in's name.
    pub name: String,
    /// Where it listens; port 0 takes a free one.
    #[serde(default = "any_port")]
    pub address: String,
}

/// A host list.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct HostsSettings {
    /// The stand-in's name.
    pub name: String,
    /// Where it listens; port 0 takes a free one.
    #[serde(default = "any_port")]
    pub address: String,
    /// How long a change takes to be seen.
    #[serde(default)]
    pub lag_ms: u64,
}

/// A model engine.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EngineSettings {
    /// The stand-in's name, also in the host list.
    pub name: String,
    /// Where it listens; port 0 takes a free one.
    #[serde(default = "any_port")]
    pub address: String,
    /// The data centre it stands in.
    pub data_centre: String,
    /// The region of that data centre.
    #[serde(default = "one_region")]
    pub region: String,
    /// Which life of the host this is.
    #[serde(default = "first")]
    pub incarnation: u64,
    /// How many requests run at once.
    pub slots: usize,
    /// How many wait before more are refused as overloaded.
    #[serde(default)]
    pub queue: usize,
    /// The versions that are loaded at the start.
    pub versions: Vec<String>,
    /// Whether an order that carries an old fencing number is refused.
    #[serde(default)]
    pub fences: bool,
    /// How long it takes to load a version.
    #[serde(default)]
    pub load_ms: u64,
    /// The age of the load report.
    #[serde(default)]
    pub load_lag_ms: u64,
    /// How many prompt prefixes are cached.
    #[serde(default)]
    pub prefixes: usize,
}

/// An endpoint of a plain service.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PlainSettings {
    /// The stand-in's name, also in the host list.
    pub name: String,
    /// The service it serves.
    pub service: String,
    /// Where it listens; port 0 takes a free one.
    #[serde(default = "any_port")]
    pub address: String,
    /// The data centre it stands in.
    pub data_centre: String,
    /// The region of that data centre.
    #[serde(default = "one_region")]
    pub region: String,
    /// Which life of the host this is.
    #[serde(default = "first")]
    pub incarnation: u64,
    /// How many calls run at once.
    pub slots: usize,
    /// How many wait before more are refused as overloaded.
    #[serde(default)]
    pub queue: usize,
    /// How long a call takes.
    #[serde(default)]
    pub work_ms: u64,
    /// The age of the load report.
    #[serde(default)]
    pub load_lag_ms: u64,
}

/// A rating service.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RatingSettings {
    /// The stand-in's name.
    pub name: String,
    /// Where it listens; port 0 takes a free one.
    #[serde(default = "any_port")]
    pub address: String,
    /// How long a rating takes to come.
    #[serde(default)]
    pub late_ms: u64,
    /// The share of ratings that say the opposite of the truth.
    #[serde(default)]
    pub noise: f64,
    /// The share of ratings that never come.
    #[serde(default)]
    pub never: f64,
}

impl Settings {
    /// Reads the file's text.
    ///
    /// # Errors
    ///
    /// With line, key and what is accepted.
    pub fn parse(text: &str) -> Result<Self, toml::de::Error> {
        toml::from_str(text)
    }
}

impl Truth {
    /// The probability that an answer to a class is good.
    #[must_use]
    pub fn good(&self, class: &str) -> f64 {
        let default = || self.good.get("default");
        self.good
            .get(class)
            .or_else(default)
            .copied()
            .unwrap_or(1.0)
    }
}

impl Default for Truth {
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

fn any_port() -> String {
    "127.0.0.1:0".to_owned()
}

fn one_region() -> String {
    "local".to_owned()
}

fn first() -> u64 {
    1
}
