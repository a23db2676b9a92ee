//! Answers to what other hosts ask.

use forward::Dialect;
use route::rollout::Scope;

use super::{ends, evacuations, news};
use crate::Store;
use crate::life::Life;
use crate::message::{Known, Listing, Message, Question};

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
        Question::Ends => Message::Ends(ends(life, Scope::All)),
    }
}

fn config<S: Store, D: Dialect>(life: &Life<S, D>) -> Option<Vec<u8>> {
    life.config_text.borrow().as_ref().map(|it| it.to_vec())
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
