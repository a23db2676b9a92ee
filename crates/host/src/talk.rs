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

use crate::follow;
use crate::life::{Life, Listed};
use crate::message::{Listing, ListingNews, Message, News};
use crate::{Member, Store};

/// How often a host tells the others what it knows.
const PERIOD: Duration = Duration::from_millis(500);
/// How many hosts are told at a time. Up to this number all are; beyond it
/// news takes some rounds more, and a host's work stays the same.
const FAN_OUT: usize = 7;
/// How long an answer of another host may take.
const ANSWER: Duration = Duration::from_millis(400);
/// The pause between two tries to join the others.
const JOIN_PAUSE: Duration = Duration::from_millis(500);

/// Tells the others what this host knows, for as long as it lives.
pub(crate) async fn tell<S: Store, D: Dialect>(life: Rc<Life<S, D>>, link: Link) {
    loop {
        let message = Message::News(news(&life));
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
    News {
        incarnation: life.incarnation,
        is_ready,
        version: router.version(),
        listing: life.listed.get().map(|it| ListingNews {
            age: now.saturating_sub(it.at),
            absence: it.absence,
            fingerprint: it.fingerprint,
        }),
        rollouts: router.news(now),
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
            Message::News(news) => learn(&life, &link, incoming.from.host, news),
            question => {
                if let (Some(reply), Some(frame)) =
                    (incoming.reply, life.frame(&answer(&life, &question)))
                {
                    reply.send(&frame).await;
                }
            }
        }
    }
}

fn answer<S: Store, D: Dialect>(life: &Life<S, D>, question: &Message) -> Message {
    match question {
        Message::AskConfig => match &*life.config_text.borrow() {
            Some(text) => Message::Config(text.to_vec()),
            None => Message::Nothing,
        },
        Message::AskListing => listing(life).map_or(Message::Nothing, Message::Listing),
        _ => Message::Nothing,
    }
}

fn listing<S: Store, D: Dialect>(life: &Life<S, D>) -> Option<Listing> {
    let listed = life.listed.get()?;
    let router = life.node.router();
    Some(Listing {
        entries: router.directory().listed().cloned().collect(),
        absence: listed.absence,
        age: life.node.now().saturating_sub(listed.at),
    })
}

fn learn<S: Store, D: Dialect>(life: &Rc<Life<S, D>>, link: &Link, from: HostName, news: News) {
    let now = life.node.now();
    let changed = life.node.router().hear(now, &from, news.rollouts.clone());
    for rollout in changed {
        follow::say_verdict(life, &rollout, from.as_str());
    }
    if news.version.is_some() && news.version == life.node.router().version() {
        life.confirmed.set(Some(now));
    }
    let listing = news.listing;
    let member = life.members.borrow().find(&from).map(peer);
    life.peers.borrow_mut().hear(now, from, news);
    let version = life.node.router().version();
    let newer = life
        .peers
        .borrow()
        .with_newer(now, version)
        .and_then(|it| life.members.borrow().find(it).map(peer));
    if let Some(peer) = newer {
        ask(life, link, peer, Message::AskConfig);
    }
    if let (Some(listing), Some(member)) = (listing, member) {
        learn_listing(life, link, member, listing);
    }
}

/// Takes over the age of another host's listing that is the same as this one's,
/// and asks for one that is younger and different.
fn learn_listing<S: Store, D: Dialect>(
    life: &Rc<Life<S, D>>,
    link: &Link,
    from: Peer,
    news: ListingNews,
) {
    let at = life.node.now().saturating_sub(news.age);
    match life.listed.get() {
        Some(own) if own.at >= at => {}
        Some(own) if own.fingerprint == news.fingerprint => {
            life.listed.set(Some(Listed {
                at,
                absence: news.absence,
                ..own
            }));
            life.node.router().confirm_listing(at);
        }
        _ => ask(life, link, from, Message::AskListing),
    }
}

/// Asks another host for what it has newer, one question at a time.
fn ask<S: Store, D: Dialect>(life: &Rc<Life<S, D>>, link: &Link, peer: Peer, question: Message) {
    if life.asking.replace(true) {
        return;
    }
    let (node, life, link) = (Rc::clone(&life.node), Rc::clone(life), link.clone());
    node.spawn(async move {
        if let Some(frame) = life.frame(&question)
            && let Ok(Frame::Decide(payload)) = link.ask(&peer, &frame, ANSWER).await
        {
            take(&life, &payload);
        }
        life.asking.set(false);
    });
}

fn take<S: Store, D: Dialect>(life: &Life<S, D>, payload: &Payload) {
    match postcard::from_bytes(&payload.bytes) {
        Ok(Message::Config(text)) => {
            if let Ok(config) = life.store.config(&text) {
                follow::configure(life, config, text.into());
            }
        }
        Ok(Message::Listing(it)) => {
            let now = life.node.now();
            follow::list(life, now.saturating_sub(it.age), it.entries, it.absence);
        }
        _ => {}
    }
}

/// Joins the others: their certificates come from the store.
pub(crate) async fn join<S: Store, D: Dialect>(life: Rc<Life<S, D>>) {
    let (link, inbox) = loop {
        match life.open_link().await {
            Some(it) => break it,
            None => sleep(JOIN_PAUSE).await,
        }
    };
    life.node.spawn(tell(Rc::clone(&life), link.clone()));
    hear(life, link, inbox).await;
}
