//! Stand-ins and configuration of the demo's two organisations.

use std::collections::BTreeMap;

use config::Customer;
use error_stack::Report;
use fakes::{
    EngineSettings, GroundTruth, HostListSettings, PlainServiceSettings, RatingSettings, Settings,
    StoreSettings,
};
use serde_json::{Value, json};
use toml::{Table, toml};

use crate::error::Error;
use crate::reconcile::AllowedVersions;
use crate::site::Operator;

/// The entry hosts and their data centres.
pub(crate) const HOSTS: [(&str, &str); 3] = [
    ("entry-1", "dar-1"),
    ("entry-2", "dar-2"),
    ("entry-3", "gua-1"),
];

/// The version that is rolled out.
pub(crate) const NEW_VERSION: &str = "small@2";
/// The version that the new one replaces.
pub(crate) const OLD_VERSION: &str = "small@1";
/// The version whose responses become bad and which is withdrawn.
pub(crate) const BAD_VERSION: &str = "mid@1";

/// The customers.
pub(crate) const CUSTOMERS: [&str; 4] =
    ["kivuli-bench", "studio-baobab", "sal-visitors", "sal-gates"];

/// A version: name, price of a prompt token in microcents, words of a response, microseconds per
/// generated token, and the probabilities of a good response by class: era; chat, notes and
/// catalogue; dossier.
type VersionRow = (&'static str, u64, u64, u64, [f64; 3]);

const VERSIONS: [VersionRow; 5] = [
    ("small@1", 1, 16, 500, [0.95, 0.85, 0.30]),
    ("small@2", 1, 16, 500, [0.97, 0.90, 0.35]),
    ("mid@1", 6, 24, 1000, [0.98, 0.95, 0.70]),
    ("mid@2", 6, 24, 1000, [0.99, 0.96, 0.75]),
    ("strong@1", 30, 60, 1500, [0.99, 0.98, 0.97]),
];

/// Ratio of the price of a completion token to that of a prompt token.
const COMPLETION_PRICE_FACTOR: u64 = 4;
const MILLION: u64 = 1_000_000;

/// Facts about the configured site that the script and the checks need.
pub(crate) struct Setup {
    pub(crate) allowed: AllowedVersions,
    /// The revision at which each version was created.
    pub(crate) versions: BTreeMap<&'static str, u64>,
}

/// Returns the bearer key of a customer.
pub(crate) fn key(customer: &str) -> String {
    format!("key-of-{customer}")
}

/// Returns settings of the hosts: at most half of the responses of a version with enough ratings
/// are sent for rating, which is also the default, and a lost host is fenced after two seconds, so
/// that this happens during the demo.
pub(crate) fn settings() -> Table {
    toml! {
        [decide]
        rating_share = 0.5
        [ledger]
        fence_after_ms = 2000
    }
}

/// Returns the settings of the stand-ins of all data centres.
pub(crate) fn stand_ins(seed: u64) -> Settings {
    let store = |name: &str| StoreSettings {
        name: name.to_owned(),
        address: ANY_FREE_PORT.to_owned(),
    };
    let data_centres = HOSTS.iter().map(|(_, data_centre)| *data_centre);
    Settings {
        seed,
        versions: VERSIONS.iter().map(truth).collect(),
        table: vec![store("table")],
        objects: vec![store("objects")],
        hosts: vec![HostListSettings {
            name: "hosts".to_owned(),
            address: ANY_FREE_PORT.to_owned(),
            lag_ms: 300,
        }],
        engine: data_centres
            .clone()
            .flat_map(|it| {
                [
                    engine(it, "small", 24, &["small@1", "small@2"]),
                    engine(it, "mid", 16, &["mid@1", "mid@2"]),
                    engine(it, "strong", 12, &["strong@1"]),
                ]
            })
            .collect(),
        service: data_centres
            .flat_map(|it| [service(it, "bench"), service(it, "gate")])
            .collect(),
        rating: vec![RatingSettings {
            name: "rating".to_owned(),
            address: ANY_FREE_PORT.to_owned(),
            late_ms: 300,
            noise: 0.05,
            never: 0.3,
        }],
    }
}

/// Creates versions, customers, services and profiles through the operators' API.
pub(crate) async fn configure(operator: &Operator) -> Result<Setup, Report<Error>> {
    let mut versions = BTreeMap::new();
    for row in &VERSIONS {
        let revision = operator
            .put(&format!("versions/{}", row.0), 0, &version(row, "active"))
            .await?;
        versions.insert(row.0, revision);
    }
    for customer in CUSTOMERS {
        let body = json!({
            "key_blake3": Customer::hash(key(customer).as_bytes()),
            "rate_per_s": 500, "burst": 500, "concurrency": 500,
        });
        operator
            .put(&format!("customers/{customer}"), 0, &body)
            .await?;
    }
    for (name, body) in services() {
        operator.put(&format!("services/{name}"), 0, &body).await?;
    }
    let mut allowed = AllowedVersions::default();
    for (name, body) in profiles() {
        operator.put(&format!("profiles/{name}"), 0, &body).await?;
        allow(&mut allowed, name, &body);
    }
    Ok(Setup { allowed, versions })
}

/// Returns the configuration of a version of the demo.
pub(crate) fn version_of(id: &str, state: &str) -> Value {
    let row = VERSIONS.iter().find(|it| it.0 == id);
    version(row.expect("the version is one of the demo's"), state)
}

const ANY_FREE_PORT: &str = "127.0.0.1:0";

fn truth((id, price, words, token_us, good): &VersionRow) -> (String, GroundTruth) {
    let [era, chat, dossier] = *good;
    let good = [
        ("era", era),
        ("chat", chat),
        ("notes", chat),
        ("catalogue", chat),
        ("dossier", dossier),
    ];
    let truth = GroundTruth {
        good: good.map(|(class, it)| (class.to_owned(), it)).into(),
        confidence: 0.8,
        price_prompt: price * MILLION,
        price_completion: price * COMPLETION_PRICE_FACTOR * MILLION,
        words: *words,
        prompt_us: 5,
        token_us: *token_us,
    };
    ((*id).to_owned(), truth)
}

fn engine(data_centre: &str, model: &str, slots: usize, versions: &[&str]) -> EngineSettings {
    EngineSettings {
        name: format!("{model}-{data_centre}"),
        address: ANY_FREE_PORT.to_owned(),
        data_centre: data_centre.to_owned(),
        region: "local".to_owned(),
        incarnation: 1,
        slots,
        queue: slots * 2,
        versions: versions.iter().map(|it| (*it).to_owned()).collect(),
        fences: data_centre.starts_with("dar"),
        load_ms: 300,
        load_lag_ms: 100,
        prefixes: 256,
    }
}

fn service(data_centre: &str, service: &str) -> PlainServiceSettings {
    PlainServiceSettings {
        name: format!("{service}-{data_centre}"),
        service: service.to_owned(),
        address: ANY_FREE_PORT.to_owned(),
        data_centre: data_centre.to_owned(),
        region: "local".to_owned(),
        incarnation: 1,
        slots: 64,
        queue: 128,
        work_ms: 3,
        load_lag_ms: 100,
    }
}

fn version((_, price, ..): &VersionRow, state: &str) -> Value {
    json!({
        "state": state,
        "prompt_microcents_per_million": price * MILLION,
        "completion_microcents_per_million": price * COMPLETION_PRICE_FACTOR * MILLION,
    })
}

fn services() -> [(&'static str, Value); 2] {
    let route = |method: &str, prefix: &str, repeat: &str, priority: &str| json!({"method": method, "prefix": prefix, "repeat": repeat, "priority": priority});
    let bench = json!({"routes": [
        route("GET", "/thumbnails", "idempotent", "interactive"),
        route("POST", "/tickets", "idempotent", "interactive"),
    ]});
    let gate = json!({"routes": [
        route("POST", "/scans", "idempotent", "urgent"),
        route("POST", "/holds", "at_most_once", "urgent"),
        route("POST", "/bookings", "at_most_once", "interactive"),
    ]});
    [("bench", bench), ("gate", gate)]
}

fn profiles() -> [(&'static str, Value); 5] {
    let profile = |allow: &[&str], quality: f64, repeat: &str, customers: Value| {
        json!({
            "allow": allow, "quality": quality, "cost_cap_microcents": 10 * MILLION,
            "repeat": repeat, "deadline_ms": 10_000, "customers": customers,
        })
    };
    let bench = json!({"kivuli-bench": {}});
    let visitors = json!({"sal-visitors": {}});
    let studios = json!({"kivuli-bench": {}, "studio-baobab": {"allow": ["strong@1"]}});
    let cheap = ["small@1", "small@2", "mid@1", "mid@2"];
    let mid = ["mid@1", "mid@2"];
    let all = ["mid@1", "mid@2", "strong@1"];
    [
        (
            "kivuli-era",
            profile(&cheap, 0.9, "idempotent", bench.clone()),
        ),
        (
            "kivuli-catalogue",
            profile(&mid, 0.85, "at_most_once", bench),
        ),
        ("kivuli-dossier", profile(&all, 0.9, "idempotent", studios)),
        (
            "sal-visitor",
            profile(&cheap, 0.85, "idempotent", visitors.clone()),
        ),
        ("sal-notes", profile(&cheap, 0.8, "idempotent", visitors)),
    ]
}

/// Allows each customer of a profile the versions in the customer's own list, or else those of the
/// profile.
fn allow(allowed: &mut AllowedVersions, name: &str, profile: &Value) {
    let customers = profile["customers"].as_object().into_iter().flatten();
    for (customer, grant) in customers {
        let own = &grant["allow"];
        let versions = if own.is_null() {
            &profile["allow"]
        } else {
            own
        };
        let versions = versions.as_array().into_iter().flatten();
        let versions: Vec<_> = versions.filter_map(Value::as_str).collect();
        allowed.insert(customer, name, &versions);
    }
}
