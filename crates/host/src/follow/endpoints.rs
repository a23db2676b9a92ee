//! Follows the store's listing of endpoints.

use std::rc::Rc;
use std::time::Duration;

use async_std::task::sleep;
use forward::Dialect;
use route::directory::Absence;
use route::endpoint::Entry;

use super::{wait_for_config, wait_to_read};
use crate::life::{Life, Listed};
use crate::listing::fingerprint;
use crate::{Backoff, Outage, Store, report};

/// Interval at which the listing of endpoints is read. Each reading is billed, and an
/// endpoint that leaves must get no new requests two seconds after it announced that.
const READ_INTERVAL: Duration = Duration::from_secs(1);

pub(crate) async fn follow<S: Store, D: Dialect>(life: Rc<Life<S, D>>) {
    wait_for_config(&life).await;
    let mut outage = Outage::default();
    let mut era = life.store.era();
    let mut backoff = Backoff::default();
    loop {
        let node = &life.node;
        if !should_read(&life) {
            wait_to_read(&life).await;
            continue;
        }
        let began = node.now();
        let listed = life.store.endpoints().await;
        report::record_store_call(&life, "endpoints", began, &listed);
        if let Ok(found) = listed {
            backoff.reset();
            report::log_unusable(&life, "endpoints", found.unusable);
            let now = node.now();
            let known = life.listed.get().map(|it| (it.at, it.absence));
            if std::mem::replace(&mut era, life.store.era()) != era {
                outage.record_restore(now);
            }
            let absence = outage.absence(now, known);
            let mut entries = found.entries;
            node.router().directory().correct(now, &mut entries);
            list(&life, now, entries, absence);
            if life.is_watching_documents.get() {
                // The store responds and a long poll is open: it would have returned a
                // change.
                life.confirm(began);
            }
            life.hurry();
            // The interval counts from the start of a reading: a long listing takes most of
            // a second to read, and with a longer cycle it would get so old that all hosts
            // read it themselves.
            sleep(READ_INTERVAL.saturating_sub(node.now().saturating_sub(began))).await;
        } else {
            outage.record_failure(node.now());
            life.back_off(&mut backoff).await;
        }
    }
}

/// Returns whether this host should read the listing itself. The second reader does so
/// only when the first is late: it is a standby, and each of its readings is billed.
fn should_read<S: Store, D: Dialect>(life: &Life<S, D>) -> bool {
    const STANDBY_DELAY: Duration = Duration::from_millis(150);
    let known = life.listed.get().map(|it| it.at);
    let is_fresh = known.is_some_and(|at| life.node.now() < at + READ_INTERVAL + STANDBY_DELAY);
    match life.rank() {
        1 if is_fresh => false,
        _ => life.asks_store(known),
    }
}

/// Puts a listing of endpoints that was read at `at` in use, unless a later one is.
pub(crate) fn list<S: Store, D: Dialect>(
    life: &Life<S, D>,
    at: Duration,
    entries: Vec<Entry>,
    absence: Absence,
) {
    let before = life.listed.get();
    if before.is_some_and(|it| it.at >= at) {
        return;
    }
    let listed = Listed {
        at,
        absence,
        fingerprint: fingerprint(&entries),
    };
    life.listing.borrow_mut().replace(&entries);
    life.listed.set(Some(listed));
    if before.is_none_or(|it| !it.covers(listed.fingerprint, absence)) {
        life.hurry();
    }
    let change = life.node.router().update_listing(at, entries, absence);
    let age = life.node.now().saturating_sub(at);
    report::log_endpoint_changes(life, &change, age);
}
