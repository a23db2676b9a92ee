//! Loads the initial state from neighbours when a host starts.

use std::rc::Rc;

use forward::Dialect;
use link::Link;

use super::{ask, learn, peer};
use crate::Store;
use crate::life::Life;
use crate::message::{Message, Question};

/// The most neighbours that are asked for their state, one after another.
const TRIES: usize = 3;

/// Requests the full state from neighbours until a configuration is known, which is faster
/// than reading the store and saves calls to it. If the first neighbour that responds has no
/// configuration, all hosts have just started, and those that read the store begin at once.
pub(super) async fn greet<S: Store, D: Dialect>(life: Rc<Life<S, D>>, link: Link) {
    let audience = life.gossip.borrow().audience();
    for it in audience.iter().take(TRIES).map(peer) {
        if life.node.router().version().is_some() {
            break;
        }
        let answer = ask::ask(&life, &link, &it, Question::Everything).await;
        if let Some(Message::Known(known)) = answer {
            learn::known(&life, &link, &it, *known);
            life.greeted.set(true);
            ask::ask_once(&life, &link, &it, Question::Ends);
        }
    }
    life.greeted.set(true);
}
