//! Reconciles the store's listing of hosts with the live hosts.
//!
//! Hosts that start use the listing to find some others, which know the rest. It has some of the
//! live hosts, not all.

use std::rc::Rc;
use std::time::Duration;

use async_std::task::sleep;
use forward::Dialect;

use crate::host::Host;
use crate::{Member, Store, report};

/// Longest interval at which the first of the readers reads the listing.
const READ_INTERVAL: Duration = Duration::from_secs(10);
/// Initial interval. It doubles up to the longest one with each reading that lacks no host: hosts
/// that start at the same time aren't in the listing at first.
const FIRST_READ_INTERVAL: Duration = Duration::from_millis(500);
/// Interval at which a host checks whether it has to read or write the listing.
const POLL_INTERVAL: Duration = Duration::from_millis(200);
/// The same before it has joined the fleet.
const JOINING_POLL_INTERVAL: Duration = Duration::from_millis(10);
/// Number of entries from which on a host doesn't register itself but leaves it to the first
/// reader, which writes many entries per call. With a lower limit, each listed host would
/// get requests from dozens of others when the whole fleet starts.
const SELF_REGISTRATION_LIMIT: usize = 24;
/// Largest number of entries in one write.
const MAX_BATCH: usize = 100;

pub(crate) async fn follow<S: Store, D: Dialect>(host: Rc<Host<S, D>>) {
    let mut interval = FIRST_READ_INTERVAL;
    let mut next = Duration::ZERO;
    while !host.is_leaving() {
        let poll_interval = match host.hosts_found.get() {
            Some(_) => POLL_INTERVAL,
            // Registers soon after the join, so that hosts that start at the same time find
            // this one.
            None => JOINING_POLL_INTERVAL,
        };
        sleep(poll_interval).await;
        let now = host.node.now();
        let hosts_found = host.hosts_found.get();
        let is_due = now >= next && (host.is_reader() || !host.is_registered.get());
        let Some(hosts_found) = hosts_found.filter(|_| is_due) else {
            continue;
        };
        if !host.is_registered.get() && hosts_found < SELF_REGISTRATION_LIMIT {
            let is_done = register(&host, &[host.own().clone()]).await;
            host.is_registered.set(is_done);
        }
        next = host.node.now() + interval;
        if host.rank() == 0
            && host.should_read_store(host.config_confirmed.get())
            && reconcile(&host).await == Reconciled::Complete
        {
            interval = READ_INTERVAL.min(interval * 2);
        }
    }
}

/// The result of comparing the listing with the live hosts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Reconciled {
    /// The listing had enough live hosts.
    Complete,
    /// It lacked some, or couldn't be read.
    Incomplete,
}

/// Reads the listing, adds live hosts that are missing from it, and removes hosts that
/// have been silent or gone for long.
async fn reconcile<S: Store, D: Dialect>(host: &Host<S, D>) -> Reconciled {
    let began = host.node.now();
    let listed = host.store.members().await;
    report::record_store_call(host, "hosts", began, &listed);
    let Ok(found) = listed else {
        return Reconciled::Incomplete;
    };
    report::log_unusable(host, "hosts", found.unusable);
    let (missing, expired) = {
        let mut gossip = host.gossip.borrow_mut();
        gossip.add_listed(host.node.now(), found.entries.clone());
        let roster = gossip.roster();
        (
            roster.missing(&found.entries),
            roster.expired(host.node.now(), &found.entries),
        )
    };
    register(host, &missing).await;
    for batch in expired.chunks(MAX_BATCH) {
        let began = host.node.now();
        let result = host.store.withdraw(batch).await;
        report::record_store_call(host, "withdraw", began, &result);
    }
    if missing.is_empty() {
        Reconciled::Complete
    } else {
        Reconciled::Incomplete
    }
}

/// Writes the entries of these hosts. Returns whether that succeeded.
async fn register<S: Store, D: Dialect>(host: &Host<S, D>, members: &[Member]) -> bool {
    let mut is_done = true;
    for batch in members.chunks(MAX_BATCH) {
        let began = host.node.now();
        let result = host.store.announce(batch).await;
        report::record_store_call(host, "announce", began, &result);
        is_done &= result.is_ok();
    }
    is_done
}
