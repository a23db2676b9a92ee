//! Queries on the records of the stand-ins.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use futures::future;
use serde_json::Value;

use crate::environment::Environment;

/// Returns all executions at all endpoints.
pub(crate) async fn all_executions(env: &Environment) -> Vec<Value> {
    let is_endpoint = |it: &str| it.starts_with("seats") || it.starts_with("engine");
    let mut found = Vec::new();
    for mut it in records_where(env, is_endpoint).await {
        for name in ["runs", "executions"] {
            if let Value::Array(list) = it[name].take() {
                found.extend(list);
            }
        }
    }
    found
}

/// Returns the number of executions of a call at all endpoints.
pub(crate) async fn executions(env: &Environment, call: &str) -> usize {
    let all = all_executions(env).await;
    all.iter().filter(|it| it["call"] == call).count()
}

/// Returns the number of executions at an endpoint, of one call or of all.
pub(crate) async fn executions_at(env: &Environment, endpoint: &str, call: Option<&str>) -> usize {
    let records = read_records(env, env.stand_in(endpoint)).await;
    let plain = records["runs"].as_array();
    let engine = records["executions"].as_array();
    let all = plain.into_iter().chain(engine).flatten();
    all.filter(|it| call.is_none_or(|call| it["call"] == call))
        .count()
}

/// Returns the number of calls that an endpoint refused.
pub(crate) async fn refusals_at(env: &Environment, endpoint: &str) -> u64 {
    let records = read_records(env, env.stand_in(endpoint)).await;
    let by_code = records["refusals"].as_object().into_iter().flatten();
    let engine: u64 = by_code.filter_map(|(_, it)| it.as_u64()).sum();
    engine + records["refused"].as_u64().unwrap_or_default()
}

/// Returns the number of executions of a version at all engines.
pub(crate) async fn executions_of_version(env: &Environment, version: &str) -> usize {
    let all = records_where(env, |it| it.starts_with("engine")).await;
    let lists = all.iter().filter_map(|it| it["executions"].as_array());
    lists
        .flatten()
        .filter(|it| it["version"] == version)
        .count()
}

/// Returns the number of billing records for an idempotency key.
pub(crate) async fn billing_records(env: &Environment, key: &str) -> usize {
    billing_records_by_key(env).await.remove(key).unwrap_or(0)
}

/// Returns the number of billing records in the table by idempotency key; a request without one
/// counts under its id. The key of an idempotent request in the ledger has the body's fingerprint
/// appended, which is ignored here.
pub(crate) async fn billing_records_by_key(env: &Environment) -> BTreeMap<String, usize> {
    let table = env.stand_in("table");
    let mut found = BTreeMap::new();
    let mut after = String::new();
    loop {
        let target = format!(
            "/v1/rows?prefix=bill%2F&after={}&limit=500",
            percent_encode(&after)
        );
        let Some(page) = env.client.get(table, &target, "").await else {
            return found;
        };
        let rows = page["rows"].as_array().cloned().unwrap_or_default();
        for row in &rows {
            count_billing_records(&row["value"], &mut found);
        }
        match rows.last().and_then(|it| it["key"].as_str()) {
            Some(last) if page["more"] == true => last.clone_into(&mut after),
            _ => return found,
        }
    }
}

async fn records_where(env: &Environment, wanted: impl Fn(&str) -> bool) -> Vec<Value> {
    let wanted = env.stand_ins.iter().filter(|(name, _)| wanted(name));
    let reads = wanted.map(|(_, address)| read_records(env, *address));
    future::join_all(reads).await
}

/// Returns a stand-in's records; panics when it doesn't respond.
pub(crate) async fn read_records(env: &Environment, address: SocketAddr) -> Value {
    let records = env.client.get(address, "/control/records", "").await;
    records.expect("the stand-ins respond as long as the test runs")
}

/// Adds the billing records (objects with a field `charge`) in a row's value, at any depth, to
/// `found`.
fn count_billing_records(value: &Value, found: &mut BTreeMap<String, usize>) {
    match value {
        Value::Object(fields) => {
            if fields.contains_key("charge") {
                let name = value["key"]["key"].as_str().unwrap_or_default();
                let key = name.split('~').next().unwrap_or_default();
                *found.entry(key.to_owned()).or_insert(0) += 1;
            }
            fields
                .values()
                .for_each(|it| count_billing_records(it, found));
        }
        Value::Array(items) => items.iter().for_each(|it| count_billing_records(it, found)),
        // A row's value can be a string of JSON.
        Value::String(text) if text.starts_with(['{', '[']) => {
            let value = serde_json::from_str(text).unwrap_or_default();
            count_billing_records(&value, found);
        }
        _ => {}
    }
}

fn percent_encode(text: &str) -> String {
    let escape = |byte: u8| match byte {
        it if it.is_ascii_alphanumeric() => char::from(it).to_string(),
        it => format!("%{it:02X}"),
    };
    text.bytes().map(escape).collect()
}
