//! What the stand-ins recorded, which is what a script's counts come from.

use std::net::SocketAddr;

use futures::future;
use serde_json::Value;

use crate::world::World;

/// Executions of one caller's call over all endpoints.
pub(crate) async fn executions(world: &World, call: &str) -> usize {
    let all = all(world, |it| {
        it.starts_with("seats") || it.starts_with("engine")
    })
    .await;
    let runs = all.iter().flat_map(|it| {
        let plain = it["runs"].as_array();
        let engine = it["executions"].as_array();
        plain.into_iter().chain(engine).flatten()
    });
    runs.filter(|it| it["call"] == call).count()
}

/// Executions at one endpoint, of one call or of all.
pub(crate) async fn at(world: &World, endpoint: &str, call: Option<&str>) -> usize {
    let records = read(world, world.stand_in(endpoint)).await;
    let plain = records["runs"].as_array();
    let engine = records["executions"].as_array();
    let runs = plain.into_iter().chain(engine).flatten();
    runs.filter(|it| call.is_none_or(|call| it["call"] == call))
        .count()
}

/// Calls that an endpoint refused by itself.
pub(crate) async fn refusals_at(world: &World, endpoint: &str) -> u64 {
    let records = read(world, world.stand_in(endpoint)).await;
    let by_code = records["refusals"].as_object().into_iter().flatten();
    let engine: u64 = by_code.filter_map(|(_, it)| it.as_u64()).sum();
    engine + records["refused"].as_u64().unwrap_or_default()
}

/// Executions of a version over all engines.
pub(crate) async fn of_version(world: &World, version: &str) -> usize {
    let all = all(world, |it| it.starts_with("engine")).await;
    let runs = all.iter().filter_map(|it| it["executions"].as_array());
    runs.flatten().filter(|it| it["version"] == version).count()
}

/// Billing records in the table whose request key ends with the caller's key.
pub(crate) async fn bills(world: &World, key: &str) -> usize {
    let table = world.stand_in("table");
    let mut found = 0;
    let mut after = String::new();
    loop {
        let target = format!("/v1/rows?prefix=bill%2F&after={}&limit=500", escape(&after));
        let Some(page) = world.client.get(table, &target, "").await else {
            return found;
        };
        let rows = page["rows"].as_array().cloned().unwrap_or_default();
        found += rows
            .iter()
            .map(|it| occurrences(&it["value"], key))
            .sum::<usize>();
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
    records.expect("the stand-ins answer for as long as the test runs")
}

/// How many records in a row's value are the key's.
fn occurrences(value: &Value, key: &str) -> usize {
    match value {
        Value::Object(fields) => {
            let own = fields.get("charge").is_some() && is_key(&value["key"], key);
            usize::from(own)
                + fields
                    .values()
                    .map(|it| occurrences(it, key))
                    .sum::<usize>()
        }
        Value::Array(items) => items.iter().map(|it| occurrences(it, key)).sum(),
        // A row may hold its records as a JSON text.
        Value::String(text) if text.starts_with(['{', '[']) => {
            serde_json::from_str(text).map_or(0, |it: Value| occurrences(&it, key))
        }
        _ => 0,
    }
}

/// Whether a record is of the caller's key, to which the ledger adds the
/// body's fingerprint when the call is idempotent.
fn is_key(value: &Value, key: &str) -> bool {
    let name = value["key"].as_str().unwrap_or_default();
    name == key || name.split_once('~').is_some_and(|(it, _)| it == key)
}

fn escape(text: &str) -> String {
    let escape = |byte: u8| match byte {
        it if it.is_ascii_alphanumeric() => char::from(it).to_string(),
        it => format!("%{it:02X}"),
    };
    text.bytes().map(escape).collect()
}
