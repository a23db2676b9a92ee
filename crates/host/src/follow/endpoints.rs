//! Follows the listing of endpoints.

use std::rc::Rc;
use std::time::Duration;

use async_std::task::sleep;
use forward::Dialect;
use route::directory::Absence;
use route::endpoint::Entry;

use super::{configured, pause};
use crate::life::{Life, Listed};
use crate::listing::fingerprint;
use crate::{Backoff, Outage, Store, say};

/// How often the listing of endpoints is read. An endpoint that leaves may get
/// no new work two seconds after it said so; each reading is paid for.
const PERIOD: Duration = Duration::from_secs(1);

pub(crate) async fn follow<S: Store, D: Dialect>(life: Rc<Life<S, D>>) {
    configured(&life).await;
    let mut outage = Outage::default();
    let mut era = life.store.era();
    let mut backoff = Backoff::default();
    loop {
        let node = &life.node;
        if !asks(&life) {
            pause(&life).await;
            continue;
        }
        let began = node.now();
        let listed = life.store.endpoints().await;
        say::store(&life, "endpoints", began, &listed);
        if let Ok(found) = listed {
            backoff.reset();
            say::unusable(&life, "endpoints", found.unusable);
            let now = node.now();
            let known = life.listed.get().map(|it| (it.at, it.absence));
            if std::mem::replace(&mut era, life.store.era()) != era {
                outage.restore(now);
            }
            let absence = outage.absence(now, known);
            let mut entries = found.entries;
            node.router().directory().correct(now, &mut entries);
            list(&life, now, entries, absence);
            if life.watches.get() {
                // A question for news is open, and the store answers: it would
                // have told of a change.
                life.confirm(began);
            }
            life.hurry();
            // A long listing takes most of a second to read: begun a second after the last
            // one's end, each would be so old that all hosts read it themselves.
            sleep(PERIOD.saturating_sub(node.now().saturating_sub(began))).await;
        } else {
            outage.fail(node.now());
            life.back_off(&mut backoff).await;
        }
    }
}

/// Whether this host reads the listing itself. The second of those who read for all
/// does so only when the first hasn't: it is there for the case that the first fails,
/// and its readings would be half of the calls of a quiet day.
fn asks<S: Store, D: Dialect>(life: &Life<S, D>) -> bool {
    const LATE: Duration = Duration::from_millis(150);
    let known = life.listed.get().map(|it| it.at);
    let is_fresh = known.is_some_and(|at| life.node.now() < at + PERIOD + LATE);
    match life.rank() {
        1 if is_fresh => false,
        _ => life.asks_store(known),
    }
}

/// Takes a listing of endpoints that was read at `at`, unless a later one was taken.
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
    life.listing.borrow_mut().take(&entries);
    life.listed.set(Some(listed));
    if before.is_none_or(|it| !it.covers(listed.fingerprint, absence)) {
        life.hurry();
    }
    let change = life.node.router().list(at, entries, absence);
    let age = life.node.now().saturating_sub(at);
    say::endpoints(life, &change, age);
}
