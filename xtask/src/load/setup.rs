//! Stand-ins and configuration of the site under load: one engine with ample slots.

use std::time::Duration;

use config::Customer;
use error_stack::Report;
use fakes::{
    EngineSettings, GroundTruth, HostListSettings, RatingSettings, Settings, StoreSettings,
};
use serde_json::json;

use crate::error::Error;
use crate::site::Operator;

/// The version that responds at once, without streaming.
pub(crate) const UNARY_VERSION: &str = "whole@1";
/// The version whose responses are streamed.
pub(crate) const STREAMING_VERSION: &str = "stream@1";
/// The customer's bearer key.
pub(crate) const KEY: &str = "key-of-load";
/// The engine's name.
pub(crate) const ENGINE: &str = "engine";
/// Number of words in a streamed response.
pub(crate) const STREAM_WORDS: u32 = 100;

/// Microseconds between two tokens of a stream.
const TOKEN_US: u64 = 10_000;
/// Approximate duration of a streamed response: `STREAM_WORDS` times `TOKEN_US`.
pub(crate) const STREAM_DURATION: Duration = Duration::from_secs(1);
const MILLION: u64 = 1_000_000;
const ANY_FREE_PORT: &str = "127.0.0.1:0";

pub(crate) fn stand_ins() -> Settings {
    let store = |name: &str| StoreSettings {
        name: name.to_owned(),
        address: ANY_FREE_PORT.to_owned(),
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
            (UNARY_VERSION.to_owned(), truth(8, 0)),
            (
                STREAMING_VERSION.to_owned(),
                truth(u64::from(STREAM_WORDS), TOKEN_US),
            ),
        ]
        .into(),
        table: vec![store("table")],
        objects: vec![store("objects")],
        hosts: vec![HostListSettings {
            name: "hosts".to_owned(),
            address: ANY_FREE_PORT.to_owned(),
            lag_ms: 0,
        }],
        engine: vec![EngineSettings {
            name: ENGINE.to_owned(),
            address: ANY_FREE_PORT.to_owned(),
            data_centre: "dar-1".to_owned(),
            region: "local".to_owned(),
            incarnation: 1,
            slots: 20_000,
            queue: 20_000,
            versions: vec![UNARY_VERSION.to_owned(), STREAMING_VERSION.to_owned()],
            fences: true,
            load_ms: 0,
            load_lag_ms: 100,
            prefixes: 0,
        }],
        service: Vec::new(),
        rating: vec![RatingSettings {
            name: "rating".to_owned(),
            address: ANY_FREE_PORT.to_owned(),
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
    for id in [UNARY_VERSION, STREAMING_VERSION] {
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

/// Returns the name of the profile that allows only this version.
pub(crate) fn profile_of(version: &str) -> String {
    version.replace('@', "-")
}
