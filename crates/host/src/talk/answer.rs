//! Responses to requests from other hosts.

use forward::Dialect;
use route::rollout::Scope;

use super::{ends, evacuations, news};
use crate::Store;
use crate::life::Life;
use crate::listing::Sketch;
use crate::message::{Known, Listing, ListingChange, ListingPatch, Message, Question};

pub(super) fn answer<S: Store, D: Dialect>(life: &Life<S, D>, question: Question) -> Message {
    match question {
        Question::Config => config(life).map_or(Message::Nothing, Message::Config),
        Question::Listing => listing(life).map_or(Message::Nothing, Message::Listing),
        Question::Everything => Message::Known(Box::new(Known {
            news: news(life, Scope::All),
            config: config(life),
            listing: listing(life),
            evacuations: evacuations(life),
        })),
        Question::Comparison(digest) => Message::Comparison(life.gossip.borrow().compare(&digest)),
        Question::Life => Message::Nothing,
        Question::ListingSince(from) => listing_since(life, from),
        Question::ListingPatch(sketch) => listing_patch(life, &sketch),
        Question::Ends => Message::Ends(ends(life, Scope::All)),
    }
}

fn config<S: Store, D: Dialect>(life: &Life<S, D>) -> Option<Vec<u8>> {
    life.config_text.borrow().as_ref().map(|it| it.to_vec())
}

/// Returns the changes since the listing with fingerprint `from`.
fn listing_since<S: Store, D: Dialect>(life: &Life<S, D>, from: u64) -> Message {
    let change = life.listing.borrow().since(from);
    if let (Some(change), Some(listed)) = (change, life.listed.get()) {
        return Message::ListingChange(ListingChange {
            change,
            absence: listed.absence,
            age: life.node.now().saturating_sub(listed.at),
        });
    }
    Message::ListingForgotten
}

fn listing_patch<S: Store, D: Dialect>(life: &Life<S, D>, sketch: &Sketch) -> Message {
    let patch = life.listing.borrow().patch(sketch);
    let (Some(patch), Some(listed)) = (patch, life.listed.get()) else {
        return Message::Nothing;
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
