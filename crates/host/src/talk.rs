//! Messages between hosts over their links.
//!
//! [`crate::gossip`] decides the membership content and the recipients.

mod answer;
mod ask;
mod greet;
mod learn;
mod watch;

use std::rc::Rc;

use async_std::channel::Receiver;
use async_std::task::sleep;
use forward::Dialect;
use futures::future::{Either, select};
use futures::pin_mut;
use kernel::{HostName, hash};
use link::{Incoming, Link, Peer};
use route::rollout::{self, Scope};
use route::{Evacuation, quarantine};
use wire::Frame;

use crate::gossip::{GATHER, PERIOD, ROOTS, SPACING};
use crate::life::Life;
use crate::message::{ListingNews, Message, News, Stamp};
use crate::{Backoff, Member, Store, follow};

/// Connects to the other hosts, with certificates from the store, and receives their messages.
pub(crate) async fn join<S: Store, D: Dialect>(life: Rc<Life<S, D>>) {
    life.wait_to_join().await;
    let mut backoff = Backoff::default();
    let (link, inbox) = loop {
        let opened = life.open_link().await;
        life.looked.set(true);
        if let Some(it) = opened {
            break it;
        }
        life.greeted.set(true);
        life.back_off(&mut backoff).await;
    };
    life.link.replace(Some(link.clone()));
    life.node.spawn(tell(Rc::clone(&life), link.clone()));
    life.node
        .spawn(greet::greet(Rc::clone(&life), link.clone()));
    life.node
        .spawn(watch::watch(Rc::clone(&life), link.clone()));
    life.node
        .spawn(watch::reconnect(Rc::clone(&life), link.clone()));
    hear(life, link, inbox).await;
}

/// Sends updates to the neighbours periodically, and early when something changes.
async fn tell<S: Store, D: Dialect>(life: Rc<Life<S, D>>, link: Link) {
    loop {
        say(&life, &link);
        sleep(SPACING.saturating_sub(GATHER)).await;
        let pause = sleep(PERIOD.saturating_sub(SPACING));
        let change = life.changes.recv();
        pin_mut!(pause, change);
        match select(pause, change).await {
            Either::Left(_) => {}
            Either::Right((Ok(()), _)) => sleep(GATHER).await,
            Either::Right((Err(_), pause)) => pause.await,
        }
    }
}

/// Sends this host's current state to the neighbours once.
pub(crate) fn say<S: Store, D: Dialect>(life: &Life<S, D>, link: &Link) {
    let news = news(life, Scope::Fresh);
    let ends = ends(life, Scope::Fresh);
    let ended = (!ends.is_empty()).then(|| life.frame(&Message::Ends(ends)));
    let said = evacuations(life);
    let said = (!said.is_empty()).then(|| life.frame(&Message::Evacuations(said)));
    let beside: Vec<_> = [said, ended].into_iter().flatten().flatten().collect();
    let mut usual = None;
    for peer in life.gossip.borrow().audience().iter().map(peer) {
        let own = with_sums(life, &news, &peer.host);
        let frame = match own {
            Some(own) => life.frame(&Message::News(Box::new(own))),
            None => usual
                .get_or_insert_with(|| life.frame(&Message::News(Box::new(news.clone()))))
                .clone(),
        };
        if let Some(frame) = frame {
            link.send(&peer, &frame);
        }
        for frame in &beside {
            link.send(&peer, frame);
        }
    }
}

/// Returns the operators' evacuation orders for data centres. Revoked ones are included because
/// a host that was cut off may still have them in force.
fn evacuations<S: Store, D: Dialect>(life: &Life<S, D>) -> Vec<Evacuation> {
    life.node.router().directory().evacuations().news()
}

/// Returns what this host knows of process exits and quarantined requests.
fn ends<S: Store, D: Dialect>(life: &Life<S, D>, scope: Scope) -> quarantine::News {
    let now = life.node.now();
    life.node.router().quarantine().news(now, scope)
}

/// Returns this host's state, where `scope` tells whether it includes what was sent before.
pub(crate) fn news<S: Store, D: Dialect>(life: &Life<S, D>, scope: Scope) -> News {
    let now = life.node.now();
    life.renew_state();
    gather(life);
    let mut router = life.node.router();
    let age = |at: std::time::Duration| now.saturating_sub(at);
    let mut gossip = life.gossip.borrow_mut();
    let pulse = match scope {
        Scope::Fresh => gossip.pulse(now),
        Scope::All => gossip.whole(),
    };
    News {
        pulse,
        version: router.version(),
        confirmed: life.confirmed.get().map(age),
        listing: life.listed.get().map(|it| ListingNews {
            stamp: Stamp {
                age: age(it.at),
                fingerprint: it.fingerprint,
            },
            absence: it.absence,
        }),
        rollouts: router.news(now, scope),
        judgements: life.judgements.borrow().values().cloned().collect(),
    }
}

/// Publishes the total evidence on each roll-out if this host is a root.
fn gather<S: Store, D: Dialect>(life: &Life<S, D>) {
    let now = life.node.now();
    let gossip = life.gossip.borrow();
    let own = gossip.roster().own();
    let gatherer = hash::of(&(&own.member.name, own.incarnation));
    for root in (0..ROOTS).filter(|&it| gossip.graph().distance(it) == Some(0)) {
        for rollout in life.node.router().rollouts() {
            rollout.gather(now, root, hash::of(&(gatherer, root)));
        }
    }
}

/// Returns the update for a neighbour on the path to a root, with the partial sums of the
/// roll-outs; `None` if the neighbour is on no such path or there
/// are no roll-outs.
fn with_sums<S: Store, D: Dialect>(life: &Life<S, D>, news: &News, to: &HostName) -> Option<News> {
    let gossip = life.gossip.borrow();
    let graph = gossip.graph();
    let ways: Vec<_> = (0..ROOTS)
        .filter(|&it| graph.parent(it) == Some(to))
        .filter_map(|it| Some((it, graph.distance(it)?)))
        .collect();
    if ways.is_empty() || news.rollouts.is_empty() {
        return None;
    }
    let (now, mut router) = (life.node.now(), life.node.router());
    let mut news = news.clone();
    for it in &mut news.rollouts {
        let Some(rollout) = router.rollout(&it.order.service) else {
            continue;
        };
        let sum = |&(root, distance): &(usize, u8)| rollout.sum(now, root, distance);
        it.sums = ways.iter().map(sum).collect::<Vec<rollout::Sum>>();
    }
    Some(news)
}

/// Receives messages from other hosts.
async fn hear<S: Store, D: Dialect>(life: Rc<Life<S, D>>, link: Link, inbox: Receiver<Incoming>) {
    while let Ok(incoming) = inbox.recv().await {
        let Frame::Decide(payload) = incoming.frame else {
            continue;
        };
        // Skips messages of a newer format.
        let Ok(message) = postcard::from_bytes::<Message>(&payload.bytes) else {
            continue;
        };
        match message {
            Message::News(news) => learn::news(&life, &link, &incoming.from, &news),
            Message::Records(records) => learn::records(&life, &records),
            Message::Ends(news) => learn::ends(&life, &news),
            Message::Evacuations(said) => follow::evacuations::hear(&life, said),
            Message::Ask(question) => {
                if let (Some(reply), Some(frame)) =
                    (incoming.reply, life.frame(&answer::answer(&life, question)))
                {
                    reply.send(&frame).await;
                }
            }
            // Responses arrive through the request that they belong to.
            _ => {}
        }
    }
}

pub(crate) fn peer(member: &Member) -> Peer {
    Peer {
        host: member.name.clone(),
        address: member.link,
    }
}
