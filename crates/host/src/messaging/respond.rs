//! Responses to requests from other hosts.

use forward::Dialect;
use route::rollout::Scope;

use super::{evacuations, quarantine_update, state_update};
use crate::Store;
use crate::life::Life;
use crate::listing::Sketch;
use crate::message::{FullState, Listing, ListingChange, ListingPatch, Message, Request};

pub(super) fn respond<S: Store, D: Dialect>(life: &Life<S, D>, request: Request) -> Message {
    match request {
        Request::Config => config(life).map_or(Message::Empty, Message::Config),
        Request::Listing => listing(life).map_or(Message::Empty, Message::Listing),
        Request::FullState => Message::FullState(Box::new(FullState {
            update: state_update(life, Scope::Full),
            config: config(life),
            listing: listing(life),
            evacuations: evacuations(life),
        })),
        Request::Compare(digest) => Message::Comparison(life.gossip.borrow().compare(&digest)),
        Request::Ping => Message::Empty,
        Request::ListingSince(from) => listing_changes(life, from),
        Request::ListingPatch(sketch) => listing_patch(life, &sketch),
        Request::Quarantine => Message::Quarantine(quarantine_update(life, Scope::Full)),
    }
}

fn config<S: Store, D: Dialect>(life: &Life<S, D>) -> Option<Vec<u8>> {
    life.config_text.borrow().as_ref().map(|it| it.to_vec())
}

/// Returns the changes since the listing with fingerprint `from`.
fn listing_changes<S: Store, D: Dialect>(life: &Life<S, D>, from: u64) -> Message {
    let change = life.listing.borrow().since(from);
    if let (Some(change), Some(listed)) = (change, life.listed.get()) {
        return Message::ListingChange(ListingChange {
            change,
            absence: listed.absence,
            age: life.node.now().saturating_sub(listed.at),
        });
    }
    Message::ListingChangesUnavailable
}

fn listing_patch<S: Store, D: Dialect>(life: &Life<S, D>, sketch: &Sketch) -> Message {
    let patch = life.listing.borrow().patch(sketch);
    let (Some(patch), Some(listed)) = (patch, life.listed.get()) else {
        return Message::Empty;
    };
    Message::ListingPatch(ListingPatch {
        patch,
        absence: listed.absence,
        age: life.node.now().saturating_sub(listed.at),
    })
}

fn listing<S: Store, D: Dialect>(life: &Life<S, D>) -> Option<Listing> {
    let listed = life.listed.get()?;
    Some(Listing {
        entries: life.listing.borrow().entries().cloned().collect(),
        absence: listed.absence,
        age: life.node.now().saturating_sub(listed.at),
    })
}
