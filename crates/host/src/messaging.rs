//! Messages between hosts over their links.
//!
//! [`crate::gossip`] decides the membership content and the recipients.

mod apply;
mod bootstrap;
mod listing;
mod probe;
mod request;
mod respond;

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

use crate::gossip::{BATCH_DELAY, GOSSIP_INTERVAL, MIN_GOSSIP_INTERVAL, ROOT_COUNT};
use crate::host::Host;
use crate::message::{ListingStatus, Message, Request, StateUpdate};
use crate::{Backoff, Member, Store, follow};

/// Joins the fleet, with retries until that succeeds, starts the tasks that communicate with
/// other hosts, and receives their messages.
pub(crate) async fn join<S: Store, D: Dialect>(host: Rc<Host<S, D>>) {
    host.delay_first_join().await;
    let mut backoff = Backoff::default();
    let (link, inbox) = loop {
        let opened = host.join_fleet().await;
        host.join_attempted.set(true);
        if let Some(it) = opened {
            break it;
        }
        host.bootstrap_attempted.set(true);
        host.back_off(&mut backoff).await;
    };
    host.link.replace(Some(link.clone()));
    host.node
        .spawn(send_updates(Rc::clone(&host), link.clone()));
    host.node
        .spawn(bootstrap::bootstrap(Rc::clone(&host), link.clone()));
    host.node
        .spawn(probe::probe_suspects(Rc::clone(&host), link.clone()));
    host.node
        .spawn(probe::reconnect(Rc::clone(&host), link.clone()));
    receive_messages(host, link, inbox).await;
}

/// Sends updates to the neighbours periodically, and early when something changes.
async fn send_updates<S: Store, D: Dialect>(host: Rc<Host<S, D>>, link: Link) {
    loop {
        send_update(&host, &link);
        compare_with_returned(&host, &link);
        sleep(MIN_GOSSIP_INTERVAL.saturating_sub(BATCH_DELAY)).await;
        let pause = sleep(GOSSIP_INTERVAL.saturating_sub(MIN_GOSSIP_INTERVAL));
        let change = host.update_requests.recv();
        pin_mut!(pause, change);
        match select(pause, change).await {
            Either::Left(_) => {}
            Either::Right((Ok(()), _)) => sleep(BATCH_DELAY).await,
            Either::Right((Err(_), pause)) => pause.await,
        }
    }
}

/// Sends this host's current state to the neighbours once.
pub(crate) fn send_update<S: Store, D: Dialect>(host: &Host<S, D>, link: &Link) {
    let update = state_update(host, Scope::Delta);
    let quarantine = quarantine_update(host, Scope::Delta);
    let quarantine = (!quarantine.is_empty()).then(|| host.frame(&Message::Quarantine(quarantine)));
    let evacuations = evacuations(host);
    let evacuations =
        (!evacuations.is_empty()).then(|| host.frame(&Message::Evacuations(evacuations)));
    let rate_limits = host.node.router().rate_limit_reports(host.node.now());
    let rate_limits =
        (!rate_limits.is_empty()).then(|| host.frame(&Message::RateLimits(rate_limits)));
    let extra_frames: Vec<_> = [evacuations, quarantine, rate_limits]
        .into_iter()
        .flatten()
        .flatten()
        .collect();
    let mut shared_frame = None;
    for peer in host.gossip.borrow().recipients().iter().map(peer) {
        let update_with_sums = with_partial_sums(host, &update, &peer.host);
        let frame = match update_with_sums {
            Some(update) => host.frame(&Message::StateUpdate(Box::new(update))),
            None => shared_frame
                .get_or_insert_with(|| host.frame(&Message::StateUpdate(Box::new(update.clone()))))
                .clone(),
        };
        if let Some(frame) = frame {
            link.send(&peer, &frame);
        }
        for frame in &extra_frames {
            link.send(&peer, frame);
        }
    }
}

/// Compares views with neighbours that are live again after they were silent.
fn compare_with_returned<S: Store, D: Dialect>(host: &Rc<Host<S, D>>, link: &Link) {
    let returned = host.gossip.borrow_mut().take_returned(host.node.now());
    for it in returned.iter().map(peer) {
        let digest = host.gossip.borrow().digest();
        request::send_in_background(host, link, &it, Request::Compare(digest));
    }
}

/// Returns the operators' evacuation orders for data centres. Revoked ones are included because
/// a host that was cut off may still have them in force.
fn evacuations<S: Store, D: Dialect>(host: &Host<S, D>) -> Vec<Evacuation> {
    host.node.router().directory().evacuations().changes()
}

/// Returns process exits and quarantined requests: the recent changes, or with
/// [`Scope::Full`] all quarantined requests and the latest exits.
fn quarantine_update<S: Store, D: Dialect>(host: &Host<S, D>, scope: Scope) -> quarantine::Update {
    let now = host.node.now();
    host.node.router().quarantine().build_update(now, scope)
}

/// Updates and returns this host's state. With [`Scope::Delta`], takes the membership changes
/// that haven't been sent yet.
pub(crate) fn state_update<S: Store, D: Dialect>(host: &Host<S, D>, scope: Scope) -> StateUpdate {
    let now = host.node.now();
    host.refresh_state();
    publish_totals(host);
    let mut router = host.node.router();
    let age = |at: std::time::Duration| now.saturating_sub(at);
    let mut gossip = host.gossip.borrow_mut();
    let membership = match scope {
        Scope::Delta => gossip.next_update(now),
        Scope::Full => gossip.full_update(),
    };
    StateUpdate {
        membership,
        version: router.version(),
        confirmed: host.config_confirmed.get().map(age),
        listing: listing_status(host),
        rollouts: router.rollout_updates(now, scope),
        verdicts: host.verdicts.borrow().values().cloned().collect(),
    }
}

/// Returns the summary of the listing in use.
fn listing_status<S: Store, D: Dialect>(host: &Host<S, D>) -> Option<ListingStatus> {
    let meta = host.listing_meta.get()?;
    Some(ListingStatus {
        age: host.node.now().saturating_sub(meta.at()),
        fingerprint: meta.fingerprint,
        revision: meta.revision,
        covered: meta.coverage.length(),
    })
}

/// Publishes the total evidence on each roll-out if this host is a root.
fn publish_totals<S: Store, D: Dialect>(host: &Host<S, D>) {
    let now = host.node.now();
    let gossip = host.gossip.borrow();
    let own = gossip.roster().own();
    let aggregator = hash::of(&(&own.member.name, own.incarnation));
    for root in (0..ROOT_COUNT).filter(|&it| gossip.graph().distance(it) == Some(0)) {
        for rollout in host.node.router().rollouts() {
            rollout.publish_total(now, root, hash::of(&(aggregator, root)));
        }
    }
}

/// Returns the update for a neighbour on the path to a root, with the partial sums of the
/// roll-outs; `None` if the neighbour is on no such path or there are no roll-outs.
fn with_partial_sums<S: Store, D: Dialect>(
    host: &Host<S, D>,
    update: &StateUpdate,
    to: &HostName,
) -> Option<StateUpdate> {
    let gossip = host.gossip.borrow();
    let graph = gossip.graph();
    let roots: Vec<_> = (0..ROOT_COUNT)
        .filter(|&it| graph.parent(it) == Some(to))
        .filter_map(|it| Some((it, graph.distance(it)?)))
        .collect();
    if roots.is_empty() || update.rollouts.is_empty() {
        return None;
    }
    let (now, mut router) = (host.node.now(), host.node.router());
    let mut update = update.clone();
    for it in &mut update.rollouts {
        let Some(rollout) = router.rollout(&it.order.service) else {
            continue;
        };
        let sum = |&(root, distance): &(usize, u8)| rollout.partial_sum(now, root, distance);
        it.partial_sums = roots.iter().map(sum).collect::<Vec<rollout::PartialSum>>();
    }
    Some(update)
}

/// Receives messages from other hosts.
async fn receive_messages<S: Store, D: Dialect>(
    host: Rc<Host<S, D>>,
    link: Link,
    inbox: Receiver<Incoming>,
) {
    while let Ok(incoming) = inbox.recv().await {
        let Frame::Decide(payload) = incoming.frame else {
            continue;
        };
        // Skips messages of a newer format.
        let Ok(message) = postcard::from_bytes::<Message>(&payload.bytes) else {
            continue;
        };
        match message {
            Message::StateUpdate(it) => apply::state_update(&host, &link, &incoming.from, &it),
            Message::Records(records) => apply::records(&host, &records),
            Message::Quarantine(it) => apply::quarantine_update(&host, &it),
            Message::Evacuations(it) => follow::evacuations::apply(&host, it),
            Message::RateLimits(it) => follow::rate_limits::apply(&host, &it),
            Message::Request(request) => {
                if let (Some(reply), Some(frame)) = (
                    incoming.reply,
                    host.frame(&respond::respond(&host, request)),
                ) {
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
