//! Responses to requests from other hosts.

use forward::Dialect;
use kernel::EndpointId;
use route::rollout::Scope;

use super::{evacuations, listing_status, quarantine_update, state_update};
use crate::Store;
use crate::host::Host;
use crate::listing::Sketch;
use crate::message::{FullState, ListingChange, ListingPage, ListingPatch, Message, Request};

pub(super) fn respond<S: Store, D: Dialect>(host: &Host<S, D>, request: Request) -> Message {
    match request {
        Request::Config => config(host).map_or(Message::Empty, Message::Config),
        Request::ListingPage(after) => listing_page(host, after.as_ref()),
        Request::FullState => Message::FullState(Box::new(FullState {
            update: state_update(host, Scope::Full),
            config: config(host),
            evacuations: evacuations(host),
            rate_limits: host.node.router().all_rate_limit_reports(host.node.now()),
        })),
        Request::Compare(digest) => Message::Comparison(host.gossip.borrow().compare(&digest)),
        Request::Ping => Message::Empty,
        Request::ListingSince(from) => listing_changes(host, from),
        Request::ListingPatch(sketch) => listing_patch(host, &sketch),
        Request::Quarantine => Message::Quarantine(quarantine_update(host, Scope::Full)),
    }
}

fn config<S: Store, D: Dialect>(host: &Host<S, D>) -> Option<Vec<u8>> {
    host.config_text.borrow().as_ref().map(|it| it.to_vec())
}

/// Returns the changes since the listing with fingerprint `from`.
fn listing_changes<S: Store, D: Dialect>(host: &Host<S, D>, from: u64) -> Message {
    let change = host.listing.borrow().changes_since(from);
    match (change, listing_status(host)) {
        (Some(change), Some(status)) => Message::ListingChange(ListingChange { change, status }),
        _ => Message::ListingChangesUnavailable,
    }
}

fn listing_patch<S: Store, D: Dialect>(host: &Host<S, D>, sketch: &Sketch) -> Message {
    let patch = host.listing.borrow().patch(sketch);
    match (patch, listing_status(host)) {
        (Some(patch), Some(status)) => Message::ListingPatch(ListingPatch { patch, status }),
        _ => Message::Empty,
    }
}

/// Returns a page of the listing. Pages have a bounded size, so that a slow link transfers each in
/// time whatever the number of endpoints, and a host that starts gets them from several others.
fn listing_page<S: Store, D: Dialect>(host: &Host<S, D>, after: Option<&EndpointId>) -> Message {
    const MAX_ENTRIES: usize = 1_000;
    if host.listing_meta.get().is_none() {
        return Message::Empty;
    }
    let (entries, is_last) = host.listing.borrow().page(after, MAX_ENTRIES);
    Message::ListingPage(ListingPage { entries, is_last })
}
