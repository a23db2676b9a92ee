//! Follows the documents that operators write to the store.

use std::rc::Rc;
use std::sync::Arc;

use forward::Dialect;
use route::rollout::Order;
use route::{Config, Revision};
use telemetry::{Event, Value};

use super::{
    LONG_POLL_TIMEOUT, STARTUP_LONG_POLL_TIMEOUT, evacuations, is_of_another_era, unless_restarted,
    verdicts, wait_to_read,
};
use crate::life::Life;
use crate::{Backoff, Documents, Store, Trouble, report};

pub(crate) async fn follow<S: Store, D: Dialect>(life: Rc<Life<S, D>>) {
    let mut since: Option<Revision> = None;
    let mut backoff = Backoff::default();
    loop {
        if !life.asks_store(life.confirmed.get()) {
            wait_to_read(&life).await;
            continue;
        }
        since = since.filter(|it| it.era == life.store.era());
        let began = life.node.now();
        life.is_watching_documents.set(since.is_some());
        let wait = match life.node.router().version() {
            Some(_) => LONG_POLL_TIMEOUT,
            None => STARTUP_LONG_POLL_TIMEOUT,
        };
        let call = async {
            match since {
                None => life.store.documents().await,
                Some(since) => life.store.changes(since, wait).await,
            }
        };
        let result = unless_restarted(&life.returns[0].1, call).await;
        life.is_watching_documents.set(false);
        let Some(result) = result else {
            continue;
        };
        report::record_store_call(&life, "news of documents", began, &result);
        match result {
            // The store was restored from a copy meanwhile. It may have reassigned versions up
            // to `since`, and the answer lacks what was written with those.
            Ok(documents) if is_of_another_era(since, documents.revision) => since = None,
            Ok(documents) => {
                backoff.reset();
                let revision = documents.revision;
                match since {
                    None => apply_snapshot(&life, documents),
                    Some(_) => apply_changes(&life, documents),
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
fn apply_snapshot<S: Store, D: Dialect>(life: &Life<S, D>, mut documents: Documents) {
    let evacuated = std::mem::take(&mut documents.evacuations);
    evacuations::apply_snapshot(life, documents.revision, evacuated);
    apply_changes(life, documents);
}

/// Applies changed documents.
fn apply_changes<S: Store, D: Dialect>(life: &Life<S, D>, documents: Documents) {
    // Before the configuration: with it, the host starts to serve requests.
    evacuations::hear(life, documents.evacuations);
    report::log_unusable(life, "documents", documents.unreadable);
    if let Some((config, text)) = documents.config {
        configure(life, config, text);
    }
    let now = life.node.now();
    for order in documents.orders {
        if life.node.router().apply_order(order.clone(), now) {
            life.hurry();
            say_order(life, &order);
        }
    }
    // Orders and verdicts arrive independently, in any order.
    verdicts::apply(life);
}

pub(crate) fn say_order<S: Store, D: Dialect>(life: &Life<S, D>, order: &Order) {
    life.recorder().log_event(
        Event::RolloutSeen,
        &[
            ("service", Value::Text(&order.service)),
            ("release", Value::Text(&order.release)),
            ("over_ms", Value::Time(order.duration)),
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
    let is_applied = life.node.router().configure(config);
    if before != Some(version) {
        let event = if is_applied {
            Event::ConfigInForce
        } else {
            Event::ConfigOlder
        };
        life.recorder().log_event(
            event,
            &[
                ("version", Value::Count(version)),
                ("before", Value::count(before)),
                ("routes", Value::Count(routes as u64)),
            ],
        );
    }
    if is_applied {
        *life.config_text.borrow_mut() = Some(text);
        life.hurry();
    }
}
