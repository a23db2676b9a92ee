//! Talk between hosts: who tells and asks whom, over the links.
//!
//! What is told of the hosts themselves, and to whom, [`crate::gossip`] decides.

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

/// Joins the others: their certificates come from the store.
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

/// Tells the neighbours what this host knows, for as long as it lives.
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

/// Tells the neighbours once what this host knows.
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

/// What operators said of data centres, also of those that were taken back: whoever was cut
/// off meanwhile still has them as emptied.
fn evacuations<S: Store, D: Dialect>(life: &Life<S, D>) -> Vec<Evacuation> {
    life.node.router().directory().evacuations().news()
}

/// What this host knows of endpoints that ended.
fn ends<S: Store, D: Dialect>(life: &Life<S, D>, scope: Scope) -> quarantine::News {
    let now = life.node.now();
    life.node.router().quarantine().news(now, scope)
}

/// What this host knows. Of that which travels once, all or what is fresh.
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

/// Has this host say what all have seen of roll-outs, where it is one of those who
/// gather it.
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

/// The news for a neighbour through which what was seen of roll-outs goes to those
/// who gather it; nothing if none does.
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

/// Hears the others.
async fn hear<S: Store, D: Dialect>(life: Rc<Life<S, D>>, link: Link, inbox: Receiver<Incoming>) {
    while let Ok(incoming) = inbox.recv().await {
        let Frame::Decide(payload) = incoming.frame else {
            continue;
        };
        // A host that speaks a newer form is understood by those that know it.
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
            // Answers come to those who asked.
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
