//! Follows the store's listing of endpoints.

use std::rc::Rc;
use std::time::Duration;

use async_std::task::sleep;
use forward::Dialect;
use route::directory::Absence;
use route::endpoint::Entry;

use super::{wait_for_config, wait_to_read};
use crate::host::{Host, ListingMeta};
use crate::listing::fingerprint;
use crate::{Backoff, Outage, Store, report};

/// Interval at which the listing of endpoints is read. Each reading is billed, and an
/// endpoint that leaves must stop getting new requests within two seconds of announcing it.
const READ_INTERVAL: Duration = Duration::from_secs(1);

pub(crate) async fn follow<S: Store, D: Dialect>(host: Rc<Host<S, D>>) {
    wait_for_config(&host).await;
    let mut outage = Outage::default();
    let mut era = host.store.era();
    let mut backoff = Backoff::default();
    loop {
        let node = &host.node;
        if !should_read(&host) {
            wait_to_read(&host).await;
            continue;
        }
        let began = node.now();
        let listed = host.store.endpoints().await;
        report::record_store_call(&host, "endpoints", began, &listed);
        if let Ok(found) = listed {
            backoff.reset();
            report::log_unusable(&host, "endpoints", found.unusable);
            let now = node.now();
            let known = host.listing_meta.get().map(|it| (it.at, it.absence));
            if std::mem::replace(&mut era, host.store.era()) != era {
                outage.record_restore(now);
            }
            let absence = outage.absence(now, known);
            let mut entries = found.entries;
            node.router().directory().correct(now, &mut entries);
            apply_listing(&host, now, entries, absence);
            if host.is_watching_documents.get() {
                // The store responds and a long poll is open: it would have returned a
                // change.
                host.confirm_config(began);
            }
            host.schedule_update();
            // The interval counts from the start of a reading: a long listing takes most of
            // a second to read, and with a longer cycle it would get so old that all hosts
            // read it themselves.
            sleep(READ_INTERVAL.saturating_sub(node.now().saturating_sub(began))).await;
        } else {
            outage.record_failure(node.now());
            host.back_off(&mut backoff).await;
        }
    }
}

/// Returns whether this host should read the listing itself. The second reader does so
/// only when the first is late: it is a standby, and each of its readings is billed.
fn should_read<S: Store, D: Dialect>(host: &Host<S, D>) -> bool {
    const STANDBY_DELAY: Duration = Duration::from_millis(150);
    let known = host.listing_meta.get().map(|it| it.at);
    let is_fresh = known.is_some_and(|at| host.node.now() < at + READ_INTERVAL + STANDBY_DELAY);
    match host.rank() {
        1 if is_fresh => false,
        _ => host.should_read_store(known),
    }
}

/// Puts a listing of endpoints that was read at `at` in use, unless a later one is.
pub(crate) fn apply_listing<S: Store, D: Dialect>(
    host: &Host<S, D>,
    at: Duration,
    entries: Vec<Entry>,
    absence: Absence,
) {
    let before = host.listing_meta.get();
    if before.is_some_and(|it| it.at >= at) {
        return;
    }
    let listed = ListingMeta {
        at,
        absence,
        fingerprint: fingerprint(&entries),
    };
    host.listing.borrow_mut().replace(&entries);
    host.listing_meta.set(Some(listed));
    if before.is_none_or(|it| !it.covers(listed.fingerprint, absence)) {
        host.schedule_update();
    }
    let change = host.node.router().update_listing(at, entries, absence);
    let age = host.node.now().saturating_sub(at);
    report::log_endpoint_changes(host, &change, age);
}
