//! Follows the documents that operators write to the store.

use std::rc::Rc;
use std::sync::Arc;

use forward::Dialect;
use route::rollout::Order;
use route::{Config, Revision};
use telemetry::{Event, Value};

use super::{FIRST_NEWS_WAIT, NEWS_WAIT, evacuations, is_of_another_era, pause, unless, verdicts};
use crate::life::Life;
use crate::{Backoff, Documents, Store, Trouble, say};

pub(crate) async fn follow<S: Store, D: Dialect>(life: Rc<Life<S, D>>) {
    let mut since: Option<Revision> = None;
    let mut backoff = Backoff::default();
    loop {
        if !life.asks_store(life.confirmed.get()) {
            pause(&life).await;
            continue;
        }
        since = since.filter(|it| it.era == life.store.era());
        let began = life.node.now();
        life.watches.set(since.is_some());
        let wait = match life.node.router().version() {
            Some(_) => NEWS_WAIT,
            None => FIRST_NEWS_WAIT,
        };
        let question = async {
            match since {
                None => life.store.documents().await,
                Some(since) => life.store.changes(since, wait).await,
            }
        };
        let asked = unless(&life.returns[0].1, question).await;
        life.watches.set(false);
        let Some(asked) = asked else {
            continue;
        };
        say::store(&life, "news of documents", began, &asked);
        match asked {
            // The store was restored from a copy meanwhile. It may have reassigned versions up
            // to `since`, and the answer lacks what was written with those.
            Ok(documents) if is_of_another_era(since, documents.revision) => since = None,
            Ok(documents) => {
                backoff.reset();
                let revision = documents.revision;
                match since {
                    None => read(&life, documents),
                    Some(_) => take(&life, documents),
                }
                since = Some(revision.max(since.unwrap_or_default()));
                if life.confirm(life.node.now()) {
                    life.hurry();
                }
            }
            Err(Trouble::HistoryGone) => since = None,
            Err(_) => life.back_off(&mut backoff).await,
        }
    }
}

/// Applies a snapshot of all documents.
fn read<S: Store, D: Dialect>(life: &Life<S, D>, mut documents: Documents) {
    let emptied = std::mem::take(&mut documents.evacuations);
    evacuations::read(life, documents.revision, emptied);
    take(life, documents);
}

/// Applies changed documents.
fn take<S: Store, D: Dialect>(life: &Life<S, D>, documents: Documents) {
    // Before the configuration: with it, the host starts to serve requests.
    evacuations::hear(life, documents.evacuations);
    say::unusable(life, "documents", documents.unreadable);
    if let Some((config, text)) = documents.config {
        configure(life, config, text);
    }
    let now = life.node.now();
    for order in documents.orders {
        if life.node.router().order(order.clone(), now) {
            life.hurry();
            say_order(life, &order);
        }
    }
    // Orders and verdicts arrive independently, in any order.
    verdicts::apply(life);
}

pub(crate) fn say_order<S: Store, D: Dialect>(life: &Life<S, D>, order: &Order) {
    life.recorder().say(
        Event::RolloutSeen,
        &[
            ("service", Value::Text(&order.service)),
            ("release", Value::Text(&order.release)),
            ("over_ms", Value::Time(order.over)),
        ],
    );
}

/// Puts a configuration in force, unless a newer one already is.
pub(crate) fn configure<S: Store, D: Dialect>(
    life: &Life<S, D>,
    config: Arc<Config>,
    text: Arc<[u8]>,
) {
    let (version, routes) = (config.version, config.route_count());
    let before = life.node.router().version();
    let is_taken = life.node.router().configure(config);
    if before != Some(version) {
        let event = if is_taken {
            Event::ConfigInForce
        } else {
            Event::ConfigOlder
        };
        life.recorder().say(
            event,
            &[
                ("version", Value::Count(version)),
                ("before", Value::count(before)),
                ("routes", Value::Count(routes as u64)),
            ],
        );
    }
    if is_taken {
        *life.config_text.borrow_mut() = Some(text);
        life.hurry();
    }
}
