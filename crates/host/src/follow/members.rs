//! Keeps the store's listing of hosts in agreement with the hosts that live.
//!
//! It is there for those who start: they find others by it, who know the rest.

use std::rc::Rc;
use std::time::Duration;

use async_std::task::sleep;
use forward::Dialect;

use crate::life::Life;
use crate::{Member, Store, say};

/// How often the listing is read by the first of those who read for all.
const PERIOD: Duration = Duration::from_secs(10);
/// The time to the second reading; each later one takes twice as long as the one
/// before it, up to the whole period. Hosts that start at once aren't in the
/// listing yet when the others read it first.
const FIRST_PERIOD: Duration = Duration::from_millis(500);
/// How often a host looks whether it is one of those.
const LOOK: Duration = Duration::from_millis(200);
/// The same before it has found the others.
const FIRST_LOOK: Duration = Duration::from_millis(10);
/// How many entries are enough for those who start: a host that finds so many doesn't
/// list itself, but leaves it to the readers, who list all at a time. With fewer, those
/// that are listed would each be asked by dozens at a start of the whole fleet; 295
/// single writes would be half of the calls of a quiet day.
const ENOUGH: usize = 24;
/// The most entries that are written at a time.
const MOST: usize = 100;

pub(crate) async fn follow<S: Store, D: Dialect>(life: Rc<Life<S, D>>) {
    let mut period = FIRST_PERIOD;
    let mut next = Duration::ZERO;
    while !life.is_leaving() {
        let look = match life.found.get() {
            Some(_) => LOOK,
            // Whoever starts at the same time is to find it.
            None => FIRST_LOOK,
        };
        sleep(look).await;
        let now = life.node.now();
        let found = life.found.get();
        let is_due = now >= next && (life.reads_for_all() || !life.is_enlisted.get());
        let Some(found) = found.filter(|_| is_due) else {
            continue;
        };
        if !life.is_enlisted.get() && found < ENOUGH {
            let is_done = enlist(&life, &[life.own().clone()]).await;
            life.is_enlisted.set(is_done);
        }
        if life.rank() == 0 && life.asks_store(life.confirmed.get()) {
            agree(&life).await;
        }
        next = life.node.now() + period;
        if life.is_enlisted.get() {
            period = PERIOD.min(period * 2);
        }
    }
}

/// Reads the listing, lists those who live and are missing there, and takes those off
/// who have long been silent.
async fn agree<S: Store, D: Dialect>(life: &Life<S, D>) {
    let began = life.node.now();
    let listed = life.store.members().await;
    say::store(life, "hosts", began, &listed);
    let Ok(found) = listed else {
        return;
    };
    say::unusable(life, "hosts", found.unusable);
    let (missing, gone) = {
        let mut gossip = life.gossip.borrow_mut();
        gossip.list(life.node.now(), found.entries.clone());
        let roster = gossip.roster();
        (
            roster.missing(&found.entries),
            roster.gone(life.node.now(), &found.entries),
        )
    };
    enlist(life, &missing).await;
    for some in gone.chunks(MOST) {
        let began = life.node.now();
        let withdrawn = life.store.withdraw(some).await;
        say::store(life, "withdraw", began, &withdrawn);
    }
}

/// Lists these hosts, and says whether that succeeded.
async fn enlist<S: Store, D: Dialect>(life: &Life<S, D>, members: &[Member]) -> bool {
    let mut is_done = true;
    for some in members.chunks(MOST) {
        let began = life.node.now();
        let announced = life.store.announce(some).await;
        say::store(life, "announce", began, &announced);
        is_done &= announced.is_ok();
    }
    is_done
}
