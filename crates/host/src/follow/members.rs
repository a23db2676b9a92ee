//! Follows the listing of hosts.

use std::rc::Rc;
use std::time::Duration;

use async_std::task::sleep;
use forward::Dialect;
use kernel::hash;

use super::{LOOK, configured};
use crate::life::{Life, Reading};
use crate::{Member, Store, say};

/// How often the listing of hosts is read: it only tells of new ones, which also
/// tell of themselves. Whether hosts live is known from them.
const PERIOD: Duration = Duration::from_secs(4);
/// The time to the second reading; each later one takes twice as long as the one
/// before it, up to the whole period. Hosts that start at once aren't in the
/// listing yet when the others read it first.
const FIRST_PERIOD: Duration = Duration::from_millis(500);

pub(crate) async fn follow<S: Store, D: Dialect>(life: Rc<Life<S, D>>) {
    configured(&life).await;
    let mut period = FIRST_PERIOD;
    loop {
        let known = life.grouped.get().and(life.confirmed.get());
        if life.grouped.get().is_some() && !life.asks_store(known) {
            sleep(LOOK).await;
            continue;
        }
        let began = life.node.now();
        let listed = life.store.members().await;
        say::store(&life, "hosts", began, &listed);
        match listed {
            Ok(found) => {
                say::unusable(&life, "hosts", found.unusable);
                list(&life, life.node.now(), found.entries);
            }
            Err(_) => life.members.borrow_mut().hold(life.node.now()),
        }
        sleep(period).await;
        period = PERIOD.min(period * 2);
    }
}

/// Takes a listing of hosts that was read at `at`, unless a later one was taken.
pub(crate) fn list<S: Store, D: Dialect>(life: &Life<S, D>, at: Duration, members: Vec<Member>) {
    if life.grouped.get().is_some_and(|it| it.at >= at) {
        return;
    }
    let fingerprint = fingerprint(&members);
    life.grouped.set(Some(Reading { at, fingerprint }));
    let now = life.node.now();
    let mut known = life.members.borrow_mut();
    known.list(now, members);
    life.node.router().set_hosts(known.count());
}

fn fingerprint(members: &[Member]) -> u64 {
    let mut facts: Vec<_> = members
        .iter()
        .map(|it| (&it.name, it.front, it.link))
        .collect();
    facts.sort();
    hash::of(&facts)
}
