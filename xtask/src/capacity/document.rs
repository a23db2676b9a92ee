//! Size and parse time of the configuration document by number of profiles.

use std::hint::black_box;
use std::time::Instant;

use config::Document;
use serde_json::{Value, json};

use crate::capacity::{Sample, Series};

const SIZES: [u32; 5] = [10, 20, 40, 80, 160];
const VERSIONS: u32 = 34;
const CUSTOMERS: u32 = 10;
const RUNS: usize = 5;
const PARSES: u32 = 50;
/// Assumed number of profiles; the target deployment specifies none.
const TARGET: f64 = 100.0;

pub(super) fn measure() -> Vec<Series> {
    let texts: Vec<_> = SIZES.iter().map(|it| (*it, text(*it))).collect();
    let bytes = texts.iter().map(|(size, text)| {
        let length = u32::try_from(text.len()).unwrap_or(u32::MAX);
        Sample::of(f64::from(*size), vec![f64::from(length)])
    });
    let parse = texts.iter().map(|(size, text)| {
        let runs = (0..RUNS).map(|_| micros_per_parse(text)).collect();
        Sample::of(f64::from(*size), runs)
    });
    vec![
        Series::new("config: document", "B", "profiles", TARGET, bytes.collect()),
        Series::new(
            "config: reading the document",
            "us",
            "profiles",
            TARGET,
            parse.collect(),
        ),
    ]
}

/// Returns the microseconds to parse the document.
fn micros_per_parse(text: &str) -> f64 {
    let start = Instant::now();
    for _ in 0..PARSES {
        let document: Document =
            serde_json::from_str(text).expect("the generated document is valid");
        black_box(document);
    }
    start.elapsed().as_secs_f64() * 1e6 / f64::from(PARSES)
}

fn text(profiles: u32) -> String {
    let versions = object(
        VERSIONS,
        |it| format!("model-{}@{}", it / 4, it % 4),
        |_| {
            json!({
                "state": "active",
                "prompt_microcents_per_million": 1_000_000,
                "completion_microcents_per_million": 4_000_000,
            })
        },
    );
    let customers = object(
        CUSTOMERS,
        |it| format!("customer-{it}"),
        |it| json!({"key_blake3": format!("{it:064x}"), "rate_per_s": 100, "burst": 100}),
    );
    let grants = object(CUSTOMERS, |it| format!("customer-{it}"), |_| json!({}));
    let profiles = object(
        profiles,
        |it| format!("profile-{it}"),
        |_| {
            json!({
                "allow": ["model-0@0", "model-1@1", "model-2@0", "model-3@1"],
                "quality": 0.9,
                "cost_cap_microcents": 10_000_000,
                "repeat": "idempotent",
                "customers": grants,
            })
        },
    );
    let document = json!({
        "revision": 1, "versions": versions, "customers": customers,
        "profiles": profiles, "services": {}, "rollouts": {},
    });
    let document: Document =
        serde_json::from_value(document).expect("the generated document is valid");
    serde_json::to_string(&document).expect("a document can be serialized to JSON")
}

fn object(count: u32, name: impl Fn(u32) -> String, value: impl Fn(u32) -> Value) -> Value {
    let entries = (0..count).map(|it| (name(it), value(it)));
    Value::Object(entries.collect())
}
