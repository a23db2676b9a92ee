//! Applies what other hosts send.

use std::rc::Rc;
use std::time::Duration;

use forward::Dialect;
use kernel::HostName;
use link::{Link, Peer};
use route::quarantine;
use telemetry::RefusedUpdate;

use super::{listing, peer, request};
use crate::coverage::age_to_time;
use crate::follow::endpoints::{self, Acceptance, Content};
use crate::follow::{documents, evacuations, rate_limits, verdicts};
use crate::gossip::Record;
use crate::host::{Host, ListingMeta, is_much_later};
use crate::message::{
    FullState, ListingChange, ListingPatch, ListingStatus, Message, Request, StateUpdate,
};
use crate::{Coverage, Store, report};

/// Applies a host's update, and schedules an early update from this host if something changed,
/// or if the configuration or listing was confirmed much later than known before.
pub(super) fn state_update<S: Store, D: Dialect>(
    host: &Rc<Host<S, D>>,
    link: &Link,
    from: &Peer,
    update: &StateUpdate,
) {
    let has_changes = rollouts(host, &from.host, update);
    let outcome = host
        .gossip
        .borrow_mut()
        .receive(host.node.now(), &from.host, &update.membership);
    let known = host.gossip.borrow().roster().get(&from.host).cloned();
    if has_changes || outcome.has_changes {
        host.schedule_update();
    }
    let is_known = known.is_some();
    let peer = known.map_or_else(|| from.clone(), |it| peer(&it.member));
    if outcome.needs_comparison || !is_known {
        let digest = host.gossip.borrow().digest();
        request::send_once(host, link, &peer, Request::Compare(digest));
    }
    let own = host.node.router().version();
    if update.version > own {
        let request = match own {
            Some(_) => Request::Config,
            None => Request::FullState,
        };
        request::send_once(host, link, &peer, request);
    }
    let now = host.node.now();
    let received = host.received_at(now);
    let confirmed = update.confirmed.map(|age| age_to_time(received, age));
    if let Some(at) = confirmed {
        host.hear_from_store(at);
    }
    let is_confirmed = match confirmed {
        Some(at) if update.version == own => host.confirm_config(at),
        _ => false,
    };
    let is_listed = match update.listing {
        // When a message was sent that may have been waiting isn't known well enough to tell
        // whether there was an outage before or after it.
        Some(it) if own.is_some() && received == now => listing_status(host, link, &peer, it),
        _ => false,
    };
    if is_confirmed || is_listed {
        host.schedule_update();
    }
}

/// Applies the roll-outs and verdicts in a host's update. Returns whether the changes must be
/// passed on to the neighbours.
fn rollouts<S: Store, D: Dialect>(
    host: &Host<S, D>,
    from: &HostName,
    update: &StateUpdate,
) -> bool {
    let mut rollouts = update.rollouts.clone();
    let gossip = host.gossip.borrow();
    for it in &mut rollouts {
        // Drops sums of hosts that are no farther from the root than this host: they may include
        // its own evidence.
        it.partial_sums.retain(|sum| {
            let own = gossip.graph().distance(sum.root);
            own.is_some_and(|own| own < sum.distance)
        });
    }
    drop(gossip);
    let heard = host
        .node
        .router()
        .apply_rollout_updates(host.node.now(), from, rollouts);
    for order in &heard.new_orders {
        documents::log_order(host, order);
    }
    for rollout in &heard.decided {
        verdicts::log_verdict(host, rollout, from.as_str());
    }
    verdicts::record(host, update.verdicts.clone());
    heard.is_news
}

/// Applies the full state of another host.
pub(super) fn full_state<S: Store, D: Dialect>(
    host: &Rc<Host<S, D>>,
    link: &Link,
    from: &Peer,
    state: FullState,
) {
    let now = host.node.now();
    host.gossip.borrow_mut().mark_alive(now, &from.host);
    // Applied before the configuration: requests are served as soon as that is in force.
    rollouts(host, &from.host, &state.update);
    evacuations::apply(host, state.evacuations);
    rate_limits::apply(host, &state.rate_limits);
    if let Some(text) = state.config {
        config(host, text);
    }
    state_update(host, link, from, &state.update);
}

/// Applies a response from another host to a request that was sent at `sent`.
pub(super) fn response<S: Store, D: Dialect>(
    host: &Rc<Host<S, D>>,
    link: &Link,
    from: &Peer,
    sent: Duration,
    response: Message,
) {
    match response {
        Message::Config(text) => config(host, text),
        Message::ListingChange(it) => listing_change(host, link, from, sent, &it),
        Message::ListingChangesUnavailable => request_patch(host, link, from),
        Message::ListingPatch(it) => listing_patch(host, from, sent, &it),
        Message::FullState(it) => full_state(host, link, from, *it),
        Message::Comparison(it) => {
            let now = host.node.now();
            let (wanted, has_changes) = host.gossip.borrow_mut().apply_comparison(now, &it);
            if !wanted.is_empty()
                && let Some(frame) = host.frame(&Message::Records(wanted))
            {
                link.send(from, &frame);
            }
            if has_changes {
                host.schedule_update();
            }
        }
        Message::Quarantine(it) => quarantine_update(host, &it),
        Message::Evacuations(it) => evacuations::apply(host, it),
        // Not responses, or without content.
        Message::StateUpdate(_)
        | Message::Request(_)
        | Message::Records(_)
        | Message::ListingPage(_)
        | Message::RateLimits(_)
        | Message::Empty => {}
    }
}

/// Applies an update on process exits and quarantined requests.
pub(super) fn quarantine_update<S: Store, D: Dialect>(
    host: &Host<S, D>,
    update: &quarantine::Update,
) {
    let now = host.node.now();
    host.node.router().quarantine().apply_update(now, update);
}

/// Merges membership records from another host.
pub(super) fn records<S: Store, D: Dialect>(host: &Host<S, D>, records: &[Record]) {
    let now = host.node.now();
    if host.gossip.borrow_mut().merge(now, records) {
        host.schedule_update();
    }
}

fn config<S: Store, D: Dialect>(host: &Host<S, D>, text: Vec<u8>) {
    if let Ok(config) = host.store.parse_config(&text) {
        documents::apply_config(host, config, text.into());
    }
}

/// Returns the properties of another host's listing, which it sent between `sent` and `now`, with
/// local times.
pub(super) fn meta(sent: Duration, now: Duration, status: ListingStatus) -> ListingMeta {
    ListingMeta {
        coverage: Coverage::of_report(sent, now, status.age, status.covered),
        fingerprint: status.fingerprint,
        revision: status.revision,
    }
}

/// Applies changes of the listing. If they don't apply because this host's listing has changed
/// since the request, requests a patch, unless it already has the resulting entries.
fn listing_change<S: Store, D: Dialect>(
    host: &Rc<Host<S, D>>,
    link: &Link,
    from: &Peer,
    sent: Duration,
    it: &ListingChange,
) {
    let own = host.listing.borrow().fingerprint();
    if own == Some(it.change.to) {
        return;
    }
    if own != Some(it.change.from) {
        return request_patch(host, link, from);
    }
    let meta = meta(sent, host.node.now(), it.status);
    let acceptance = endpoints::put_in_use(host, meta, Content::Change(&it.change));
    if acceptance == Acceptance::Refused {
        report::log_refused_listing(host, &from.host, RefusedUpdate::Change);
        request_patch(host, link, from);
    }
}

fn request_patch<S: Store, D: Dialect>(host: &Rc<Host<S, D>>, link: &Link, from: &Peer) {
    let sketch = host.listing.borrow().sketch();
    request::send_once(host, link, from, Request::ListingPatch(sketch));
}

/// Applies a patch of the listing. If it doesn't fit, the next update triggers a new request.
fn listing_patch<S: Store, D: Dialect>(
    host: &Host<S, D>,
    from: &Peer,
    sent: Duration,
    it: &ListingPatch,
) {
    let meta = meta(sent, host.node.now(), it.status);
    let change = host.listing.borrow().change_of(&it.patch);
    let acceptance = change.map_or(Acceptance::Refused, |change| {
        endpoints::put_in_use(host, meta, Content::Change(&change))
    });
    if acceptance == Acceptance::Refused {
        report::log_refused_listing(host, &from.host, RefusedUpdate::Patch);
    }
}

/// Compares this host's listing with another host's. If the other one was read later, takes over
/// its properties if it has the same entries, and otherwise requests its changes. Returns whether a
/// read time was taken over that is much later than before.
fn listing_status<S: Store, D: Dialect>(
    host: &Rc<Host<S, D>>,
    link: &Link,
    from: &Peer,
    status: ListingStatus,
) -> bool {
    let Some(own) = host.listing_meta.get() else {
        listing::fetch(host, link, from);
        return false;
    };
    let now = host.node.now();
    let theirs = meta(now, now, status);
    if !theirs.supersedes(&own) {
        endpoints::extend_coverage(host, &theirs);
        return false;
    }
    if theirs.fingerprint != own.fingerprint {
        request::send_once(host, link, from, Request::ListingSince(own.fingerprint));
        return false;
    }
    let _ = endpoints::put_in_use(host, theirs, Content::Same);
    is_much_later(theirs.at(), Some(own.at()))
}
