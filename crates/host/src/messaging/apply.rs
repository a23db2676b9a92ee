//! Applies what other hosts send.

use std::rc::Rc;
use std::time::Duration;

use forward::Dialect;
use kernel::HostName;
use link::{Link, Peer};
use route::quarantine;

use super::{peer, request};
use crate::Store;
use crate::follow::{documents, endpoints, evacuations, verdicts};
use crate::gossip::Record;
use crate::life::{Life, Listed, is_much_later};
use crate::message::{
    FullState, Listing, ListingChange, ListingPatch, ListingStatus, Message, Request, StateUpdate,
};

/// Applies a host's update, and schedules an update of this host at once if something
/// changed or is much more recent than what was known.
pub(super) fn state_update<S: Store, D: Dialect>(
    life: &Rc<Life<S, D>>,
    link: &Link,
    from: &Peer,
    update: &StateUpdate,
) {
    let has_changes = rollouts(life, &from.host, update);
    let outcome = life
        .gossip
        .borrow_mut()
        .receive(life.node.now(), &from.host, &update.membership);
    let known = life.gossip.borrow().roster().get(&from.host).cloned();
    if has_changes || outcome.has_changes {
        life.hurry();
    }
    let is_known = known.is_some();
    let peer = known.map_or_else(|| from.clone(), |it| peer(&it.member));
    if outcome.needs_comparison || !is_known {
        let digest = life.gossip.borrow().digest();
        request::send_once(life, link, &peer, Request::Compare(digest));
    }
    let own = life.node.router().version();
    if update.version > own {
        let request = match own {
            Some(_) => Request::Config,
            None => Request::FullState,
        };
        request::send_once(life, link, &peer, request);
    }
    let is_confirmed = match update.confirmed {
        Some(age) if update.version == own => life.confirm(read_at(life.node.now(), age)),
        _ => false,
    };
    let is_listed = match update.listing {
        Some(it) if own.is_some() => listing_status(life, link, &peer, it),
        _ => false,
    };
    if is_confirmed || is_listed {
        life.hurry();
    }
}

/// Applies what a host reports of roll-outs. Returns whether it is new to the neighbours as
/// well.
fn rollouts<S: Store, D: Dialect>(
    life: &Life<S, D>,
    from: &HostName,
    update: &StateUpdate,
) -> bool {
    let mut rollouts = update.rollouts.clone();
    let gossip = life.gossip.borrow();
    for it in &mut rollouts {
        // Drops sums of hosts that are no farther from the root: they may include this host's own.
        it.partial_sums.retain(|sum| {
            let own = gossip.graph().distance(sum.root);
            own.is_some_and(|own| own < sum.distance)
        });
    }
    drop(gossip);
    let heard = life
        .node
        .router()
        .apply_rollout_updates(life.node.now(), from, rollouts);
    for order in &heard.new_orders {
        documents::say_order(life, order);
    }
    for rollout in &heard.decided {
        verdicts::say_verdict(life, rollout, from.as_str());
    }
    verdicts::take(life, update.judgements.clone());
    heard.is_news
}

/// Applies the full state of another host.
pub(super) fn full_state<S: Store, D: Dialect>(
    life: &Rc<Life<S, D>>,
    link: &Link,
    from: &Peer,
    state: FullState,
) {
    let now = life.node.now();
    life.gossip.borrow_mut().mark_alive(now, &from.host);
    // Before the configuration: requests are served as soon as it is in force.
    rollouts(life, &from.host, &state.update);
    evacuations::hear(life, state.evacuations);
    if let Some(it) = state.listing {
        listing(life, it);
    }
    if let Some(text) = state.config {
        config(life, text);
    }
    state_update(life, link, from, &state.update);
}

/// Applies a response from another host.
pub(super) fn response<S: Store, D: Dialect>(
    life: &Rc<Life<S, D>>,
    link: &Link,
    from: &Peer,
    response: Message,
) {
    match response {
        Message::Config(text) => config(life, text),
        Message::Listing(it) => listing(life, it),
        Message::ListingChange(it) => listing_change(life, link, from, &it),
        Message::ListingChangesUnavailable => request_patch(life, link, from),
        Message::ListingPatch(it) => listing_patch(life, &it),
        Message::FullState(it) => full_state(life, link, from, *it),
        Message::Comparison(it) => {
            let now = life.node.now();
            let (wanted, has_changes) = life.gossip.borrow_mut().apply_comparison(now, &it);
            if !wanted.is_empty()
                && let Some(frame) = life.frame(&Message::Records(wanted))
            {
                link.send(from, &frame);
            }
            if has_changes {
                life.hurry();
            }
        }
        Message::Quarantine(it) => quarantine_update(life, &it),
        Message::Evacuations(it) => evacuations::hear(life, it),
        // Not responses.
        Message::StateUpdate(_) | Message::Request(_) | Message::Records(_) | Message::Empty => {}
    }
}

/// Applies an update on process exits and quarantined requests.
pub(super) fn quarantine_update<S: Store, D: Dialect>(
    life: &Life<S, D>,
    update: &quarantine::Update,
) {
    let now = life.node.now();
    life.node.router().quarantine().apply_update(now, update);
}

/// Merges membership records from another host.
pub(super) fn records<S: Store, D: Dialect>(life: &Life<S, D>, records: &[Record]) {
    let now = life.node.now();
    if life.gossip.borrow_mut().merge(now, records) {
        life.hurry();
    }
}

fn config<S: Store, D: Dialect>(life: &Life<S, D>, text: Vec<u8>) {
    if let Ok(config) = life.store.config(&text) {
        documents::configure(life, config, text.into());
    }
}

fn listing<S: Store, D: Dialect>(life: &Life<S, D>, it: Listing) {
    let at = read_at(life.node.now(), it.age);
    endpoints::list(life, at, it.entries, it.absence);
}

/// Applies changes of the listing. Requests a patch if this host's listing has changed since
/// the request.
fn listing_change<S: Store, D: Dialect>(
    life: &Rc<Life<S, D>>,
    link: &Link,
    from: &Peer,
    it: &ListingChange,
) {
    let changed = life.listing.borrow().changed(&it.change);
    match changed {
        Some(entries) => {
            let at = read_at(life.node.now(), it.age);
            endpoints::list(life, at, entries, it.absence);
        }
        None if life.listing.borrow().fingerprint() == Some(it.change.to) => {}
        None => request_patch(life, link, from),
    }
}

fn request_patch<S: Store, D: Dialect>(life: &Rc<Life<S, D>>, link: &Link, from: &Peer) {
    let sketch = life.listing.borrow().sketch();
    request::send_once(life, link, from, Request::ListingPatch(sketch));
}

/// Applies a patch of the listing. A patch that no longer fits is dropped; the next update
/// triggers a new request.
fn listing_patch<S: Store, D: Dialect>(life: &Life<S, D>, it: &ListingPatch) {
    let patched = life.listing.borrow().patched(&it.patch);
    if let Some(entries) = patched {
        let at = read_at(life.node.now(), it.age);
        endpoints::list(life, at, entries, it.absence);
    }
}

/// Returns the local time at which something was read, given its age as sent by another host.
fn read_at(now: Duration, age: Duration) -> Duration {
    /// Lower bound of the transfer time. Without it, the age would grow too slowly while it
    /// travels between hosts.
    const MIN_TRANSFER_TIME: Duration = Duration::from_millis(20);
    now.saturating_sub(age.saturating_add(MIN_TRANSFER_TIME))
}

/// Takes over the read time of another host's listing if it equals this host's, and requests
/// a newer listing that differs. Returns whether the read time is much later than before.
fn listing_status<S: Store, D: Dialect>(
    life: &Rc<Life<S, D>>,
    link: &Link,
    from: &Peer,
    status: ListingStatus,
) -> bool {
    let at = read_at(life.node.now(), status.version.age);
    match life.listed.get() {
        Some(own) if own.at >= at => false,
        Some(own) if own.covers(status.version.fingerprint, status.absence) => {
            life.listed.set(Some(Listed {
                at,
                absence: status.absence,
                ..own
            }));
            life.node.router().confirm_listing(at);
            is_much_later(at, Some(own.at))
        }
        known => {
            let request =
                known.map_or(Request::Listing, |it| Request::ListingSince(it.fingerprint));
            request::send_once(life, link, from, request);
            false
        }
    }
}
