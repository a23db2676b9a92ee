//! Drives the planned work through the hosts, as many callers would.

use std::collections::BTreeMap;
use std::future::Future;
use std::sync::Arc;
use std::time::Duration;

use async_std::task;
use futures::future::join_all;

use crate::caller::{Ask, Call, Caller, End};
use crate::demo::organisations;
use crate::site::Site;
use crate::workload::{Item, Plan, prompt};

/// How long a person reads an answer before the next message, so that
/// conversations go on over the changes that the script makes.
const THINKING: Duration = Duration::from_millis(1500);

type Callers = BTreeMap<(&'static str, usize), Arc<Caller>>;

/// Starts all items, each at its time; gives their calls when all have ended.
pub(crate) fn start(
    site: &Site,
    seed: u64,
    rate: f64,
    length: Duration,
) -> impl Future<Output = Vec<Call>> + use<> {
    let mut callers = Callers::new();
    let items = Plan::draw(seed, rate, length).items;
    let tasks: Vec<_> = items
        .into_iter()
        .map(|item| {
            let caller = caller(site, &mut callers, &item);
            task::spawn(async move {
                task::sleep(item.at).await;
                converse(&caller, &item).await
            })
        })
        .collect();
    async move { join_all(tasks).await.into_iter().flatten().collect() }
}

/// The caller of an item: each customer has one in each data centre.
fn caller(site: &Site, callers: &mut Callers, item: &Item) -> Arc<Caller> {
    let place = item.number as usize % site.entries.len();
    let customer = item.customer();
    let make = || {
        let mut start = site.callers();
        start.rotate_left(place);
        Arc::new(Caller::new(
            Arc::clone(&site.clock),
            site.client.clone(),
            start,
            &site.entries[place].data_centre,
            organisations::key(customer),
        ))
    };
    Arc::clone(callers.entry((customer, place)).or_insert_with(make))
}

/// Makes the calls of one item, each with the conversation so far.
async fn converse(caller: &Caller, item: &Item) -> Vec<Call> {
    let mut calls = Vec::new();
    let mut messages = Vec::new();
    let mut session = None;
    for turn in 0..item.kind.turns() {
        if turn > 0 {
            task::sleep(THINKING).await;
        }
        messages.push(("user", prompt(item, turn)));
        let ask = Ask {
            name: item.call(turn),
            kind: item.kind,
            customer: item.customer(),
            messages: messages.clone(),
            session: session.clone(),
        };
        let call = caller.call(&ask).await;
        let answer = match call.end() {
            End::Answered(answer) => Some(answer.clone()),
            _ => None,
        };
        calls.push(call);
        let Some(answer) = answer else { break };
        messages.push(("assistant", answer.text));
        session = answer.session.or(session);
    }
    calls
}
