//! Follows the documents that operators write to the store.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use forward::Dialect;
use route::rollout::Order;
use route::{Config, Revision};
use telemetry::{Event, Value};

use super::{MIN_WAIT, evacuations, is_of_another_era, verdicts, wait_to_read};
use crate::host::Host;
use crate::{Backoff, Documents, Store, StoreError, report};

pub(crate) async fn follow<S: Store, D: Dialect>(host: Rc<Host<S, D>>) {
    let mut since: Option<Revision> = None;
    let mut backoff = Backoff::default();
    loop {
        if !host.should_follow_store(host.config_confirmed.get()) {
            wait_to_read(&host).await;
            continue;
        }
        since = since.filter(|it| it.era == host.store.era());
        let began = host.node.now();
        let wait = poll_wait(&host);
        let result = match since {
            None => Some(host.store.documents().await),
            Some(since) => {
                let changes = host.store.changes(since, wait);
                host.documents_poll.run(began, changes).await
            }
        };
        let Some(result) = result else {
            continue;
        };
        report::record_store_call(&host, "news of documents", began, &result);
        match result {
            // The store was restored from a copy meanwhile. It may have reassigned versions up
            // to `since`, and the answer lacks what was written with those.
            Ok(documents) if is_of_another_era(since, documents.revision) => since = None,
            Ok(documents) => {
                backoff.reset();
                let revision = documents.revision;
                let confirmed = match since {
                    None => began,
                    Some(_) => host.answered_at(began, wait),
                };
                match since {
                    None => apply_snapshot(&host, documents),
                    Some(_) => apply_changes(&host, documents),
                }
                since = Some(revision.max(since.unwrap_or_default()));
                if host.confirm_config(confirmed) {
                    host.schedule_update();
                }
            }
            Err(StoreError::HistoryGone) => since = None,
            Err(_) => host.back_off(&mut backoff).await,
        }
    }
}

/// Returns how long a poll for documents that begins now waits for changes: until the configuration
/// in force has to be confirmed again, or until the open poll for endpoints ends if that is earlier.
/// The hosts pass each confirmation on, so two at the same time cost one update of each.
fn poll_wait<S: Store, D: Dialect>(host: &Host<S, D>) -> Duration {
    /// Least part of the longest wait to which a poll is shortened for the sake of the other one.
    const MIN_FRACTION: f64 = 0.25;
    let (now, longest) = (host.node.now(), host.poll_wait());
    let rest = |at: Option<Duration>| {
        at.map_or(Duration::ZERO, |at| {
            longest.saturating_sub(now.saturating_sub(at))
        })
    };
    let until_confirmation = rest(host.config_confirmed.get()).max(MIN_WAIT);
    let until_listing = rest(host.listing_meta.get().map(|it| it.at()));
    if until_listing < longest.mul_f64(MIN_FRACTION) {
        return until_confirmation;
    }
    until_confirmation.min(until_listing)
}

/// Applies a snapshot of all documents.
fn apply_snapshot<S: Store, D: Dialect>(host: &Host<S, D>, mut documents: Documents) {
    let evacuated = std::mem::take(&mut documents.evacuations);
    evacuations::apply_snapshot(host, documents.revision, evacuated);
    apply_changes(host, documents);
}

/// Applies changed documents.
fn apply_changes<S: Store, D: Dialect>(host: &Host<S, D>, documents: Documents) {
    // Applied before the configuration, with which the host starts to serve requests.
    evacuations::apply(host, documents.evacuations);
    report::log_unusable(host, "documents", documents.unreadable);
    if let Some((config, text)) = documents.config {
        apply_config(host, config, text);
    }
    let now = host.node.now();
    for order in documents.orders {
        if host.node.router().apply_order(order.clone(), now) {
            host.schedule_update();
            log_order(host, &order);
        }
    }
    // Orders and verdicts arrive independently, in any order.
    verdicts::apply(host);
}

/// Logs an order, and how long ago it was first seen by any host: the share of requests that the
/// release gets depends on it.
pub(crate) fn log_order<S: Store, D: Dialect>(host: &Host<S, D>, order: &Order) {
    let now = host.node.now();
    let elapsed = match host.node.router().rollout(&order.service) {
        Some(rollout) => rollout.elapsed(now),
        None => Duration::ZERO,
    };
    host.recorder().log_event(
        Event::RolloutSeen,
        &[
            ("service", Value::Text(&order.service)),
            ("release", Value::Text(&order.release)),
            ("over_ms", Value::Time(order.duration)),
            ("elapsed_ms", Value::Time(elapsed)),
        ],
    );
}

/// Puts a configuration in force, unless a newer one already is.
pub(crate) fn apply_config<S: Store, D: Dialect>(
    host: &Host<S, D>,
    config: Arc<Config>,
    text: Arc<[u8]>,
) {
    let (version, routes) = (config.version, config.route_count());
    let before = host.node.router().version();
    let is_applied = host.node.router().configure(config);
    if before != Some(version) {
        let event = if is_applied {
            Event::ConfigInForce
        } else {
            Event::ConfigOlder
        };
        host.recorder().log_event(
            event,
            &[
                ("version", Value::Count(version)),
                ("before", Value::count(before)),
                ("routes", Value::Count(routes as u64)),
            ],
        );
    }
    if is_applied {
        *host.config_text.borrow_mut() = Some(text);
        host.schedule_update();
    }
}
