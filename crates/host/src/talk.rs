//! Talk between hosts.

use std::rc::Rc;
use std::time::Duration;

use async_std::channel::Receiver;
use async_std::task::sleep;
use forward::Dialect;
use futures::future::{Either, select};
use futures::pin_mut;
use kernel::HostName;
use link::{Incoming, Link, Peer};
use wire::{Frame, Payload};

use crate::follow::{documents, endpoints, members, verdicts};
use crate::life::{Life, Listed, Reading, is_much_later};
use crate::message::{Listing, ListingNews, Members, Message, News, Question, Stamp};
use crate::{Backoff, Member, Store};

/// How often a host tells the others what it knows.
const PERIOD: Duration = Duration::from_millis(500);
/// How many hosts are told at a time. Up to this number all are; beyond it
/// news takes some rounds more, and a host's work stays the same.
const FAN_OUT: usize = 7;
/// How many hops news takes to reach nearly all of so many hosts.
pub(crate) fn hops(hosts: usize) -> u32 {
    let reached = hosts.max(2).ilog(FAN_OUT + 1);
    reached + u32::from((FAN_OUT + 1).pow(reached) < hosts)
}

/// How long an answer of another host may take.
const ANSWER: Duration = Duration::from_millis(400);

/// Tells the others what this host knows, for as long as it lives.
pub(crate) async fn tell<S: Store, D: Dialect>(life: Rc<Life<S, D>>, link: Link) {
    loop {
        let message = Message::News(Box::new(news(&life)));
        if let Some(frame) = life.frame(&message) {
            for peer in audience(&life) {
                link.send(&peer, &frame);
            }
        }
        let pause = sleep(PERIOD);
        let change = life.changes.recv();
        pin_mut!(pause, change);
        if let Either::Right((Err(_), pause)) = select(pause, change).await {
            pause.await;
        }
    }
}

fn news<S: Store, D: Dialect>(life: &Life<S, D>) -> News {
    let now = life.node.now();
    let is_ready = life.is_ready();
    let router = life.node.router();
    let age = |at: Duration| now.saturating_sub(at);
    News {
        incarnation: life.incarnation,
        own: life.introduction(),
        is_ready,
        version: router.version(),
        confirmed: life.confirmed.get().map(age),
        listing: life.listed.get().map(|it| ListingNews {
            stamp: Stamp {
                age: age(it.at),
                fingerprint: it.fingerprint,
            },
            absence: it.absence,
        }),
        members: life.grouped.get().map(|it| Stamp {
            age: age(it.at),
            fingerprint: it.fingerprint,
        }),
        rollouts: router.news(now),
        judgements: life.judgements.borrow().values().cloned().collect(),
        heartbeats: life.peers.borrow().heartbeats(now),
    }
}

fn audience<S: Store, D: Dialect>(life: &Life<S, D>) -> Vec<Peer> {
    let mut peers: Vec<Peer> = life.members.borrow().others().map(peer).collect();
    while peers.len() > FAN_OUT {
        let out = life.chance(peers.len() as u64);
        peers.swap_remove(usize::try_from(out).unwrap_or(0));
    }
    peers
}

fn peer(member: &Member) -> Peer {
    Peer {
        host: member.name.clone(),
        address: member.link,
    }
}

/// Hears the others.
pub(crate) async fn hear<S: Store, D: Dialect>(
    life: Rc<Life<S, D>>,
    link: Link,
    inbox: Receiver<Incoming>,
) {
    while let Ok(incoming) = inbox.recv().await {
        let Frame::Decide(payload) = incoming.frame else {
            continue;
        };
        // A host that speaks a newer form is understood by those that know it.
        let Ok(message) = postcard::from_bytes::<Message>(&payload.bytes) else {
            continue;
        };
        match message {
            Message::News(news) => learn(&life, &link, &incoming.from.host, *news),
            Message::Ask(question) => {
                if let (Some(reply), Some(frame)) =
                    (incoming.reply, life.frame(&answer(&life, question)))
                {
                    reply.send(&frame).await;
                }
            }
            // Answers come to those who asked.
            _ => {}
        }
    }
}

fn answer<S: Store, D: Dialect>(life: &Life<S, D>, question: Question) -> Message {
    let now = life.node.now();
    match question {
        Question::Config => match &*life.config_text.borrow() {
            Some(text) => Message::Config(text.to_vec()),
            None => Message::Nothing,
        },
        Question::Listing => life.listed.get().map_or(Message::Nothing, |it| {
            let router = life.node.router();
            Message::Listing(Listing {
                entries: router.directory().listed().cloned().collect(),
                absence: it.absence,
                age: now.saturating_sub(it.at),
            })
        }),
        Question::Members => life.grouped.get().map_or(Message::Nothing, |it| {
            Message::Members(Members {
                members: life.members.borrow().all().cloned().collect(),
                age: now.saturating_sub(it.at),
            })
        }),
    }
}

/// Takes a host's news, and tells on at once what is much later than was known:
/// what one host reads goes round them all within some milliseconds a hop.
fn learn<S: Store, D: Dialect>(life: &Rc<Life<S, D>>, link: &Link, from: &HostName, news: News) {
    let now = life.node.now();
    if let Some(own) = news.own {
        life.members.borrow_mut().meet(now, own);
    }
    let heard = life.node.router().hear(now, from, news.rollouts);
    for order in &heard.ordered {
        documents::say_order(life, order);
    }
    for rollout in &heard.judged {
        verdicts::say_verdict(life, rollout, from.as_str());
    }
    verdicts::take(life, news.judgements);
    {
        let mut peers = life.peers.borrow_mut();
        peers.hear(now, from, news.is_ready);
        peers.hear_of(now, &news.heartbeats);
    }
    let Some(peer) = life.members.borrow().find(from).map(peer) else {
        return;
    };
    let own = life.node.router().version();
    if news.version > own {
        ask(life, link, &peer, Question::Config);
    }
    let mut is_later = match news.confirmed {
        Some(age) if news.version == own => life.confirm(read_at(now, age)),
        _ => false,
    };
    if let Some(listing) = news.listing {
        is_later |= learn_listing(life, link, &peer, listing);
    }
    if let Some(stamp) = news.members {
        learn_members(life, link, &peer, stamp);
    }
    if is_later {
        life.hurry();
    }
}

/// When something was read whose age another host told.
fn read_at(now: Duration, age: Duration) -> Duration {
    /// What news takes to arrive, at least. Without it, an age would grow too
    /// slowly while it goes round between hosts.
    const WAY: Duration = Duration::from_millis(20);
    now.saturating_sub(age.saturating_add(WAY))
}

/// Takes over the age of another host's listing that is the same as this one's,
/// and asks for one that is younger and different. Says whether it is much younger.
fn learn_listing<S: Store, D: Dialect>(
    life: &Rc<Life<S, D>>,
    link: &Link,
    from: &Peer,
    news: ListingNews,
) -> bool {
    let at = read_at(life.node.now(), news.stamp.age);
    match life.listed.get() {
        Some(own) if own.at >= at => false,
        Some(own) if own.fingerprint == news.stamp.fingerprint => {
            life.listed.set(Some(Listed {
                at,
                absence: news.absence,
                ..own
            }));
            life.node.router().confirm_listing(at);
            is_much_later(at, Some(own.at))
        }
        _ => {
            ask(life, link, from, Question::Listing);
            false
        }
    }
}

fn learn_members<S: Store, D: Dialect>(
    life: &Rc<Life<S, D>>,
    link: &Link,
    from: &Peer,
    stamp: Stamp,
) {
    let at = read_at(life.node.now(), stamp.age);
    match life.grouped.get() {
        Some(own) if own.at >= at => {}
        Some(own) if own.fingerprint == stamp.fingerprint => {
            life.grouped.set(Some(Reading { at, ..own }));
        }
        _ => ask(life, link, from, Question::Members),
    }
}

/// Asks another host for what it has newer, one question of a kind at a time.
fn ask<S: Store, D: Dialect>(life: &Rc<Life<S, D>>, link: &Link, peer: &Peer, question: Question) {
    if !life.asking.borrow_mut().insert(question) {
        return;
    }
    let (node, life, link) = (Rc::clone(&life.node), Rc::clone(life), link.clone());
    let peer = peer.clone();
    node.spawn(async move {
        if let Some(frame) = life.frame(&Message::Ask(question))
            && let Ok(Frame::Decide(payload)) = link.ask(&peer, &frame, ANSWER).await
        {
            take(&life, &payload);
        }
        life.asking.borrow_mut().remove(&question);
    });
}

fn take<S: Store, D: Dialect>(life: &Life<S, D>, payload: &Payload) {
    let now = life.node.now();
    match postcard::from_bytes(&payload.bytes) {
        Ok(Message::Config(text)) => {
            if let Ok(config) = life.store.config(&text) {
                documents::configure(life, config, text.into());
            }
        }
        Ok(Message::Listing(it)) => {
            endpoints::list(life, read_at(now, it.age), it.entries, it.absence);
        }
        Ok(Message::Members(it)) => members::list(life, read_at(now, it.age), it.members),
        _ => {}
    }
}

/// Joins the others: their certificates come from the store.
pub(crate) async fn join<S: Store, D: Dialect>(life: Rc<Life<S, D>>) {
    let mut backoff = Backoff::default();
    let (link, inbox) = loop {
        match life.open_link().await {
            Some(it) => break it,
            None => life.back_off(&mut backoff).await,
        }
    };
    life.node.spawn(tell(Rc::clone(&life), link.clone()));
    hear(life, link, inbox).await;
}
