//! Reconciles the store's listing of hosts with the live hosts.
//!
//! Hosts that start use the listing to find some others, which know the rest.

use std::rc::Rc;
use std::time::Duration;

use async_std::task::sleep;
use forward::Dialect;

use crate::life::Life;
use crate::{Member, Store, report};

/// Interval at which the first of the readers reads the listing.
const READ_INTERVAL: Duration = Duration::from_secs(10);
/// Interval between the first two readings. It doubles with each reading up to the full
/// interval: hosts that start at the same time aren't in the listing at first.
const FIRST_READ_INTERVAL: Duration = Duration::from_millis(500);
/// Interval at which a host checks whether it has to read or write the listing.
const POLL_INTERVAL: Duration = Duration::from_millis(200);
/// The same before it has joined the fleet.
const JOINING_POLL_INTERVAL: Duration = Duration::from_millis(10);
/// Number of entries from which a host doesn't register itself but leaves it to the
/// readers, which write many entries per call. With fewer entries, each listed host would
/// get requests from dozens of others when the whole fleet starts.
const MIN_ENTRIES: usize = 24;
/// Largest number of entries in one write.
const MAX_BATCH: usize = 100;

pub(crate) async fn follow<S: Store, D: Dialect>(life: Rc<Life<S, D>>) {
    let mut interval = FIRST_READ_INTERVAL;
    let mut next = Duration::ZERO;
    while !life.is_leaving() {
        let poll_interval = match life.hosts_found.get() {
            Some(_) => POLL_INTERVAL,
            // Hosts that start at the same time should find this one.
            None => JOINING_POLL_INTERVAL,
        };
        sleep(poll_interval).await;
        let now = life.node.now();
        let hosts_found = life.hosts_found.get();
        let is_due = now >= next && (life.reads_for_all() || !life.is_registered.get());
        let Some(hosts_found) = hosts_found.filter(|_| is_due) else {
            continue;
        };
        if !life.is_registered.get() && hosts_found < MIN_ENTRIES {
            let is_done = register(&life, &[life.own().clone()]).await;
            life.is_registered.set(is_done);
        }
        if life.rank() == 0 && life.asks_store(life.confirmed.get()) {
            reconcile(&life).await;
        }
        next = life.node.now() + interval;
        if life.is_registered.get() {
            interval = READ_INTERVAL.min(interval * 2);
        }
    }
}

/// Reads the listing, adds live hosts that are missing from it, and removes hosts that
/// have been silent for long.
async fn reconcile<S: Store, D: Dialect>(life: &Life<S, D>) {
    let began = life.node.now();
    let listed = life.store.members().await;
    report::record_store_call(life, "hosts", began, &listed);
    let Ok(found) = listed else {
        return;
    };
    report::log_unusable(life, "hosts", found.unusable);
    let (missing, expired) = {
        let mut gossip = life.gossip.borrow_mut();
        gossip.add_listed(life.node.now(), found.entries.clone());
        let roster = gossip.roster();
        (
            roster.missing(&found.entries),
            roster.expired(life.node.now(), &found.entries),
        )
    };
    register(life, &missing).await;
    for batch in expired.chunks(MAX_BATCH) {
        let began = life.node.now();
        let result = life.store.withdraw(batch).await;
        report::record_store_call(life, "withdraw", began, &result);
    }
}

/// Writes the entries of these hosts. Returns whether that succeeded.
async fn register<S: Store, D: Dialect>(life: &Life<S, D>, members: &[Member]) -> bool {
    let mut is_done = true;
    for batch in members.chunks(MAX_BATCH) {
        let began = life.node.now();
        let result = life.store.announce(batch).await;
        report::record_store_call(life, "announce", began, &result);
        is_done &= result.is_ok();
    }
    is_done
}
