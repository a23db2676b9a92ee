//! Commands about the lease, engine orders and the configuration's history.

use std::collections::{BTreeMap, BTreeSet};

use futures::future;
use serde_json::Value;

use super::ScriptRunner;
use crate::command::Arguments;
use crate::defaults::OPERATOR_KEY;
use crate::environment::Environment;
use crate::records;
use crate::wait::wait_until;

/// Path of the lease's row in the table service.
const LEASE: &str = "/v1/rows/lease%2Forders";

/// The holder of the lease, according to the table.
struct Holder {
    host: String,
    fencing: u64,
}

impl ScriptRunner {
    /// Waits until the lease is held by the host `held_by=`; if that isn't given, by any host.
    pub(super) async fn lease(&self, args: &Arguments<'_>) -> String {
        let (env, wanted) = (self.env(), args.optional("held_by"));
        let held = wait_until(args.timeout(), || async move {
            let holder = holder(env).await?;
            wanted.is_none_or(|it| it == holder.host).then_some(holder)
        });
        match held.await {
            Some(Holder { host, fencing }) => format!("held by {host}, number {fencing}"),
            None => "not so within the bound".to_owned(),
        }
    }

    /// Lists the distinct orders that engines accepted; first waits for at least `count=`.
    pub(super) async fn orders(&self, args: &Arguments<'_>) -> String {
        let (env, wanted) = (self.env(), args.parsed("count", 0));
        wait_until(args.timeout(), || async move {
            (orders(env).await.len() >= wanted).then_some(())
        })
        .await;
        let orders = orders(env).await;
        if orders.is_empty() {
            return "none".to_owned();
        }
        orders.into_iter().collect::<Vec<_>>().join("\n")
    }

    /// Lists the changes with a revision above `after=`, oldest first; first waits for at least
    /// `count=`.
    pub(super) async fn history(&self, args: &Arguments<'_>) -> String {
        let (env, host) = (self.env(), args.required("host"));
        let (after, wanted) = (args.parsed("after", 0), args.parsed("count", 0));
        wait_until(args.timeout(), || async move {
            (history(env, host, after).await.len() >= wanted).then_some(())
        })
        .await;
        let lines = history(env, host, after).await;
        if lines.is_empty() {
            return "none".to_owned();
        }
        lines.join("\n")
    }
}

async fn holder(env: &Environment) -> Option<Holder> {
    let row = env.client.get(env.stand_in("table"), LEASE, "").await?;
    let text = row["value"].as_str();
    let value = text.map_or_else(|| row["value"].clone(), parse_json_or_null);
    let incarnation = value["holder"].as_u64()?;
    Some(Holder {
        host: host_names(env).await.remove(&incarnation)?,
        fencing: value["fencing"].as_u64()?,
    })
}

/// Returns the names of the hosts by incarnation, from the status of all hosts that respond.
async fn host_names(env: &Environment) -> BTreeMap<u64, String> {
    let asked = env.hosts.values().map(|host| {
        let path = "/operator/v1/status";
        env.client.get(host.operators_address(), path, OPERATOR_KEY)
    });
    let mut names = BTreeMap::new();
    for status in future::join_all(asked).await.into_iter().flatten() {
        let peers = status["peers"].as_array().into_iter().flatten();
        for it in peers.chain([&status["host"]]) {
            if let (Some(incarnation), Some(name)) =
                (it["incarnation"].as_u64(), it["name"].as_str())
            {
                names.insert(incarnation, name.to_owned());
            }
        }
    }
    names
}

async fn orders(env: &Environment) -> BTreeSet<String> {
    let mut orders = BTreeSet::new();
    for engine in env.stand_ins.keys().filter(|it| it.starts_with("engine")) {
        let record = records::read_records(env, env.stand_in(engine)).await;
        for it in record["loads"].as_array().into_iter().flatten() {
            let stale = if it["stale"] == true { " STALE" } else { "" };
            let (version, wanted) = (
                string_or_unknown(&it["version"]),
                string_or_unknown(&it["wanted"]),
            );
            let fencing = &it["fencing"];
            orders.insert(format!(
                "{engine} {version} {wanted} number {fencing}{stale}"
            ));
        }
    }
    orders
}

async fn history(env: &Environment, host: &str, after: u64) -> Vec<String> {
    let to = env.host(host).operators_address();
    let response = env.client.get(to, "/operator/v1/history", OPERATOR_KEY);
    let response = response.await.unwrap_or_default();
    let entries = response["entries"].as_array().into_iter().flatten();
    let later = entries.filter(|it| it["revision"].as_u64().is_some_and(|it| it > after));
    let mut lines: Vec<_> = later
        .map(|it| format!("{} {}", it["revision"], string_or_unknown(&it["change"])))
        .collect();
    lines.reverse();
    lines
}

fn string_or_unknown(value: &Value) -> &str {
    value.as_str().unwrap_or("?")
}

fn parse_json_or_null(text: &str) -> Value {
    serde_json::from_str(text).unwrap_or_default()
}
