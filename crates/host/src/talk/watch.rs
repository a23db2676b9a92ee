//! Probes hosts that are suspected to be down, and reconnects to silent ones.

use std::rc::Rc;
use std::time::Duration;

use async_std::future::timeout;
use async_std::task::sleep;
use forward::Dialect;
use link::{Link, Peer};
use telemetry::{Event, Value};

use super::{ask, learn, peer};
use crate::Store;
use crate::gossip::RETRY;
use crate::life::Life;
use crate::message::{Message, Question};

/// The timeout of a probe, connection setup included. A host that is merely slow refutes the
/// claim before callers are affected.
const ANSWER: Duration = Duration::from_millis(500);
/// The interval between checks for suspected hosts.
const LOOK: Duration = Duration::from_millis(100);

/// Probes neighbours that have stopped sending updates.
pub(super) async fn watch<S: Store, D: Dialect>(life: Rc<Life<S, D>>, link: Link) {
    loop {
        sleep(LOOK).await;
        let suspects = life.gossip.borrow_mut().suspects(life.node.now());
        for it in suspects.iter().map(peer) {
            life.node.spawn(check(Rc::clone(&life), link.clone(), it));
        }
    }
}

async fn check<S: Store, D: Dialect>(life: Rc<Life<S, D>>, link: Link, it: Peer) {
    let answer = timeout(ANSWER, ask::ask(&life, &link, &it, Question::Life)).await;
    let now = life.node.now();
    if let Ok(Some(_)) = answer {
        return life.gossip.borrow_mut().answered(now, &it.host);
    }
    let contact = life.contact();
    let is_silent = life.gossip.borrow_mut().unanswered(now, &it.host, contact);
    if is_silent {
        life.recorder()
            .say(Event::HostSilent, &[("other", Value::Text(&it.host))]);
        life.hurry();
    }
}

/// Tries to reconnect to silent hosts. After a partition heals, both sides have marked each
/// other silent, and neither would send the first message without this.
pub(super) async fn reconnect<S: Store, D: Dialect>(life: Rc<Life<S, D>>, link: Link) {
    loop {
        sleep(RETRY).await;
        let chance = life.lot();
        let Some(silent) = life.gossip.borrow().lost(chance).as_ref().map(peer) else {
            continue;
        };
        let digest = life.gossip.borrow().digest();
        let answer = ask::ask(&life, &link, &silent, Question::Comparison(digest)).await;
        if let Some(it @ Message::Comparison(_)) = answer {
            learn::answer(&life, &link, &silent, it);
        }
    }
}
