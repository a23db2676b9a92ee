//! Runs the work items with concurrent callers.

use std::collections::BTreeMap;
use std::future::Future;
use std::sync::Arc;
use std::time::Duration;

use async_std::task;
use futures::future::join_all;

use crate::caller::{Call, Caller, Outcome, PlannedCall};
use crate::demo::organisations;
use crate::site::Site;
use crate::workload::{Item, Schedule, prompt};

/// Pause between a response and the next message of a conversation. It lets conversations
/// span the changes of the script.
const THINK_TIME: Duration = Duration::from_millis(1500);

type Callers = BTreeMap<(&'static str, usize), Arc<Caller>>;

/// Starts the tasks of all items. The future resolves to their calls when all have finished.
pub(crate) fn start(
    site: &Site,
    seed: u64,
    rate: f64,
    length: Duration,
) -> impl Future<Output = Vec<Call>> + use<> {
    let mut callers = Callers::new();
    let items = Schedule::generate(seed, rate, length).items;
    let tasks: Vec<_> = items
        .into_iter()
        .map(|item| {
            let caller = caller(site, &mut callers, &item);
            task::spawn(async move {
                task::sleep(item.at).await;
                run_item(&caller, &item).await
            })
        })
        .collect();
    async move { join_all(tasks).await.into_iter().flatten().collect() }
}

/// Returns the caller of an item. Each customer has one caller per entry host, in the data
/// centre of that host.
fn caller(site: &Site, callers: &mut Callers, item: &Item) -> Arc<Caller> {
    let host_index = item.number as usize % site.entry_hosts.len();
    let customer = item.customer();
    let make = || {
        let mut start = site.callers();
        start.rotate_left(host_index);
        Arc::new(Caller::new(
            Arc::clone(&site.clock),
            site.client.clone(),
            start,
            &site.entry_hosts[host_index].data_centre,
            organisations::key(customer),
        ))
    };
    Arc::clone(callers.entry((customer, host_index)).or_insert_with(make))
}

/// Makes the calls of one item one after the other. Each call also sends all earlier messages of
/// the conversation. Stops after a call that did not complete.
async fn run_item(caller: &Caller, item: &Item) -> Vec<Call> {
    let mut calls = Vec::new();
    let mut messages = Vec::new();
    let mut session = None;
    for turn in 0..item.kind.turns() {
        if turn > 0 {
            task::sleep(THINK_TIME).await;
        }
        messages.push(("user", prompt(item, turn)));
        let planned = PlannedCall {
            name: item.call(turn),
            kind: item.kind,
            customer: item.customer(),
            messages: messages.clone(),
            session: session.clone(),
        };
        let call = caller.call(&planned).await;
        let response = match call.outcome() {
            Outcome::Completed(response) => Some(response.clone()),
            _ => None,
        };
        calls.push(call);
        let Some(response) = response else { break };
        messages.push(("assistant", response.text));
        session = response.session.or(session);
    }
    calls
}
