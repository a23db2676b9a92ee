//! Queries on the records of the stand-ins, for the counts in a script.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use futures::future;
use serde_json::Value;

use crate::world::World;

/// Returns all executions at all endpoints.
pub(crate) async fn runs(world: &World) -> Vec<Value> {
    let is_endpoint = |it: &str| it.starts_with("seats") || it.starts_with("engine");
    let mut found = Vec::new();
    for mut it in all(world, is_endpoint).await {
        for name in ["runs", "executions"] {
            if let Value::Array(runs) = it[name].take() {
                found.extend(runs);
            }
        }
    }
    found
}

/// Returns the number of executions of a call at all endpoints.
pub(crate) async fn executions(world: &World, call: &str) -> usize {
    let runs = runs(world).await;
    runs.iter().filter(|it| it["call"] == call).count()
}

/// Returns the number of executions at an endpoint, of one call or of all.
pub(crate) async fn at(world: &World, endpoint: &str, call: Option<&str>) -> usize {
    let records = read(world, world.stand_in(endpoint)).await;
    let plain = records["runs"].as_array();
    let engine = records["executions"].as_array();
    let runs = plain.into_iter().chain(engine).flatten();
    runs.filter(|it| call.is_none_or(|call| it["call"] == call))
        .count()
}

/// Returns the number of calls that an endpoint refused.
pub(crate) async fn refusals_at(world: &World, endpoint: &str) -> u64 {
    let records = read(world, world.stand_in(endpoint)).await;
    let by_code = records["refusals"].as_object().into_iter().flatten();
    let engine: u64 = by_code.filter_map(|(_, it)| it.as_u64()).sum();
    engine + records["refused"].as_u64().unwrap_or_default()
}

/// Returns the number of executions of a version at all engines.
pub(crate) async fn of_version(world: &World, version: &str) -> usize {
    let all = all(world, |it| it.starts_with("engine")).await;
    let runs = all.iter().filter_map(|it| it["executions"].as_array());
    runs.flatten().filter(|it| it["version"] == version).count()
}

/// Returns the number of billing records for the caller's key.
pub(crate) async fn bills(world: &World, key: &str) -> usize {
    billed(world).await.remove(key).unwrap_or(0)
}

/// Returns the number of billing records in the table by the caller's key. The key of an idempotent
/// request in the ledger has the body's fingerprint appended, which is ignored here.
pub(crate) async fn billed(world: &World) -> BTreeMap<String, usize> {
    let table = world.stand_in("table");
    let mut found = BTreeMap::new();
    let mut after = String::new();
    loop {
        let target = format!("/v1/rows?prefix=bill%2F&after={}&limit=500", escape(&after));
        let Some(page) = world.client.get(table, &target, "").await else {
            return found;
        };
        let rows = page["rows"].as_array().cloned().unwrap_or_default();
        for row in &rows {
            count(&row["value"], &mut found);
        }
        match rows.last().and_then(|it| it["key"].as_str()) {
            Some(last) if page["more"] == true => last.clone_into(&mut after),
            _ => return found,
        }
    }
}

async fn all(world: &World, wanted: impl Fn(&str) -> bool) -> Vec<Value> {
    let wanted = world.stand_ins.iter().filter(|(name, _)| wanted(name));
    let reads = wanted.map(|(_, address)| read(world, *address));
    future::join_all(reads).await
}

pub(crate) async fn read(world: &World, address: SocketAddr) -> Value {
    let records = world.client.get(address, "/control/records", "").await;
    records.expect("the stand-ins respond as long as the test runs")
}

/// Counts the billing records in a row's value.
fn count(value: &Value, found: &mut BTreeMap<String, usize>) {
    match value {
        Value::Object(fields) => {
            if fields.contains_key("charge") {
                let name = value["key"]["key"].as_str().unwrap_or_default();
                let key = name.split('~').next().unwrap_or_default();
                *found.entry(key.to_owned()).or_insert(0) += 1;
            }
            fields.values().for_each(|it| count(it, found));
        }
        Value::Array(items) => items.iter().for_each(|it| count(it, found)),
        // A row's value can be a string of JSON.
        Value::String(text) if text.starts_with(['{', '[']) => {
            let value = serde_json::from_str(text).unwrap_or_default();
            count(&value, found);
        }
        _ => {}
    }
}

fn escape(text: &str) -> String {
    let escape = |byte: u8| match byte {
        it if it.is_ascii_alphanumeric() => char::from(it).to_string(),
        it => format!("%{it:02X}"),
    };
    text.bytes().map(escape).collect()
}
