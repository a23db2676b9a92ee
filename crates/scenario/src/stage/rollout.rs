//! Commands about the lease, engine orders and the configuration's history.

use std::collections::{BTreeMap, BTreeSet};

use futures::future;
use serde_json::Value;

use super::Stage;
use crate::command::Arguments;
use crate::defaults::OPERATOR_KEY;
use crate::limit::until;
use crate::records;
use crate::world::World;

/// Path of the lease's row in the table service.
const LEASE: &str = "/v1/rows/lease%2Forders";

/// The holder of the lease, according to the table.
struct Holder {
    host: String,
    fencing: u64,
}

impl Stage {
    /// Waits until the lease is held by `held_by=`, or by any host without it.
    pub(super) async fn lease(&self, args: &Arguments<'_>) -> String {
        let (world, wanted) = (self.world(), args.maybe("held_by"));
        let held = until(args.within(), || async move {
            let holder = holder(world).await?;
            wanted.is_none_or(|it| it == holder.host).then_some(holder)
        });
        match held.await {
            Some(Holder { host, fencing }) => format!("held by {host}, number {fencing}"),
            None => "not so within the bound".to_owned(),
        }
    }

    /// Lists the distinct orders that engines accepted; first waits for at least `count=`.
    pub(super) async fn orders(&self, args: &Arguments<'_>) -> String {
        let (world, wanted) = (self.world(), args.parsed("count", 0));
        until(args.within(), || async move {
            (orders(world).await.len() >= wanted).then_some(())
        })
        .await;
        let orders = orders(world).await;
        if orders.is_empty() {
            return "none".to_owned();
        }
        orders.into_iter().collect::<Vec<_>>().join("\n")
    }

    /// Lists the changes with a revision above `after=`, oldest first; first waits for at least
    /// `count=`.
    pub(super) async fn history(&self, args: &Arguments<'_>) -> String {
        let (world, host) = (self.world(), args.one("host"));
        let (after, wanted) = (args.parsed("after", 0), args.parsed("count", 0));
        until(args.within(), || async move {
            (history(world, host, after).await.len() >= wanted).then_some(())
        })
        .await;
        let lines = history(world, host, after).await;
        if lines.is_empty() {
            return "none".to_owned();
        }
        lines.join("\n")
    }
}

async fn holder(world: &World) -> Option<Holder> {
    let row = world.client.get(world.stand_in("table"), LEASE, "").await?;
    let text = row["value"].as_str();
    let value = text.map_or_else(|| row["value"].clone(), parse);
    let incarnation = value["holder"].as_u64()?;
    Some(Holder {
        host: names(world).await.remove(&incarnation)?,
        fencing: value["fencing"].as_u64()?,
    })
}

/// Returns the names of the hosts by incarnation, from the status of all hosts that respond.
async fn names(world: &World) -> BTreeMap<u64, String> {
    let asked = world.hosts.values().map(|host| {
        let path = "/operator/v1/status";
        world.client.get(host.operators(), path, OPERATOR_KEY)
    });
    let mut names = BTreeMap::new();
    for status in future::join_all(asked).await.into_iter().flatten() {
        let peers = status["peers"].as_array().into_iter().flatten();
        for it in peers.chain([&status["host"]]) {
            if let (Some(life), Some(name)) = (it["incarnation"].as_u64(), it["name"].as_str()) {
                names.insert(life, name.to_owned());
            }
        }
    }
    names
}

async fn orders(world: &World) -> BTreeSet<String> {
    let mut orders = BTreeSet::new();
    for engine in world.stand_ins.keys().filter(|it| it.starts_with("engine")) {
        let record = records::read(world, world.stand_in(engine)).await;
        for it in record["loads"].as_array().into_iter().flatten() {
            let stale = if it["stale"] == true { " STALE" } else { "" };
            let (version, wanted) = (text(&it["version"]), text(&it["wanted"]));
            let fencing = &it["fencing"];
            orders.insert(format!(
                "{engine} {version} {wanted} number {fencing}{stale}"
            ));
        }
    }
    orders
}

async fn history(world: &World, host: &str, after: u64) -> Vec<String> {
    let to = world.host(host).operators();
    let answer = world.client.get(to, "/operator/v1/history", OPERATOR_KEY);
    let answer = answer.await.unwrap_or_default();
    let entries = answer["entries"].as_array().into_iter().flatten();
    let later = entries.filter(|it| it["revision"].as_u64().is_some_and(|it| it > after));
    let mut lines: Vec<_> = later
        .map(|it| format!("{} {}", it["revision"], text(&it["change"])))
        .collect();
    lines.reverse();
    lines
}

fn text(value: &Value) -> &str {
    value.as_str().unwrap_or("?")
}

fn parse(text: &str) -> Value {
    serde_json::from_str(text).unwrap_or_default()
}
