//! Responses to requests from other hosts.

use forward::Dialect;
use route::rollout::Scope;

use super::{evacuations, quarantine_update, state_update};
use crate::Store;
use crate::host::Host;
use crate::listing::Sketch;
use crate::message::{FullState, Listing, ListingChange, ListingPatch, Message, Request};

pub(super) fn respond<S: Store, D: Dialect>(host: &Host<S, D>, request: Request) -> Message {
    match request {
        Request::Config => config(host).map_or(Message::Empty, Message::Config),
        Request::Listing => listing(host).map_or(Message::Empty, Message::Listing),
        Request::FullState => Message::FullState(Box::new(FullState {
            update: state_update(host, Scope::Full),
            config: config(host),
            listing: listing(host),
            evacuations: evacuations(host),
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
    if let (Some(change), Some(listed)) = (change, host.listing_meta.get()) {
        return Message::ListingChange(ListingChange {
            change,
            absence: listed.absence,
            age: host.node.now().saturating_sub(listed.at),
        });
    }
    Message::ListingChangesUnavailable
}

fn listing_patch<S: Store, D: Dialect>(host: &Host<S, D>, sketch: &Sketch) -> Message {
    let patch = host.listing.borrow().patch(sketch);
    let (Some(patch), Some(listed)) = (patch, host.listing_meta.get()) else {
        return Message::Empty;
    };
    Message::ListingPatch(ListingPatch {
        patch,
        absence: listed.absence,
        age: host.node.now().saturating_sub(listed.at),
    })
}

fn listing<S: Store, D: Dialect>(host: &Host<S, D>) -> Option<Listing> {
    let listed = host.listing_meta.get()?;
    Some(Listing {
        entries: host.listing.borrow().entries().cloned().collect(),
        absence: listed.absence,
        age: host.node.now().saturating_sub(listed.at),
    })
}
