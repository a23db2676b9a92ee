//! The site under load: one engine with room for everything, one host.

use std::time::Duration;

use config::Customer;
use error_stack::Report;
use fakes::{
    EngineSettings, GroundTruth, HostListSettings, RatingSettings, Settings, StoreSettings,
};
use serde_json::json;

use crate::error::Error;
use crate::site::Operator;

/// The version that answers whole, at once.
pub(crate) const WHOLE: &str = "whole@1";
/// The version that streams.
pub(crate) const STREAM: &str = "stream@1";
/// The customer's bearer key.
pub(crate) const KEY: &str = "key-of-load";
/// The engine's name.
pub(crate) const ENGINE: &str = "engine";
/// Words in a streamed answer.
pub(crate) const WORDS: u32 = 100;

/// The time between two tokens of a stream.
const TOKEN_US: u64 = 10_000;
/// The time that a streamed answer takes.
pub(crate) const STREAM_TIME: Duration = Duration::from_secs(1);
const MILLION: u64 = 1_000_000;
const ANY: &str = "127.0.0.1:0";

pub(crate) fn stand_ins() -> Settings {
    let store = |name: &str| StoreSettings {
        name: name.to_owned(),
        address: ANY.to_owned(),
    };
    let truth = |words, token_us| GroundTruth {
        price_prompt: MILLION,
        price_completion: MILLION,
        confidence: 1.0,
        words,
        token_us,
        ..GroundTruth::default()
    };
    Settings {
        seed: 1,
        versions: [
            (WHOLE.to_owned(), truth(8, 0)),
            (STREAM.to_owned(), truth(u64::from(WORDS), TOKEN_US)),
        ]
        .into(),
        table: vec![store("table")],
        objects: vec![store("objects")],
        hosts: vec![HostListSettings {
            name: "hosts".to_owned(),
            address: ANY.to_owned(),
            lag_ms: 0,
        }],
        engine: vec![EngineSettings {
            name: ENGINE.to_owned(),
            address: ANY.to_owned(),
            data_centre: "dar-1".to_owned(),
            region: "local".to_owned(),
            incarnation: 1,
            slots: 20_000,
            queue: 20_000,
            versions: vec![WHOLE.to_owned(), STREAM.to_owned()],
            fences: true,
            load_ms: 0,
            load_lag_ms: 100,
            prefixes: 0,
        }],
        service: Vec::new(),
        rating: vec![RatingSettings {
            name: "rating".to_owned(),
            address: ANY.to_owned(),
            late_ms: 100,
            noise: 0.0,
            never: 0.5,
        }],
    }
}

pub(crate) async fn configure(operator: &Operator) -> Result<(), Report<Error>> {
    let version = json!({
        "prompt_microcents_per_million": MILLION,
        "completion_microcents_per_million": MILLION,
    });
    let customer = json!({
        "key_blake3": Customer::hash(KEY.as_bytes()),
        "rate_per_s": 100_000, "burst": 100_000, "concurrency": 50_000,
    });
    operator.put("customers/load", 0, &customer).await?;
    for id in [WHOLE, STREAM] {
        operator.put(&format!("versions/{id}"), 0, &version).await?;
        let profile = json!({
            "allow": [id], "quality": 0.5, "cost_cap_microcents": 100 * MILLION,
            "repeat": "idempotent", "customers": {"load": {}},
        });
        operator
            .put(&format!("profiles/{}", profile_of(id)), 0, &profile)
            .await?;
    }
    Ok(())
}

/// The profile that allows only this version.
pub(crate) fn profile_of(version: &str) -> String {
    version.replace('@', "-")
}
