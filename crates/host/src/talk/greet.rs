//! What a host does first when it has found the others.

use std::rc::Rc;

use forward::Dialect;
use link::Link;

use super::{ask, learn, peer};
use crate::Store;
use crate::life::Life;
use crate::message::{Message, Question};

/// How many others are asked for everything, one after the other.
const TRIES: usize = 3;

/// Asks the neighbours for all that they know, until one knows a configuration. It is
/// there within some milliseconds, and spares the store four calls a host. Where the
/// first neighbour that answers knows none, all have just started, and those that read
/// for all begin at once.
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
