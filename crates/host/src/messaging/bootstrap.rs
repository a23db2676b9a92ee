//! Loads the initial state from neighbours when a host starts.

use std::rc::Rc;

use forward::Dialect;
use link::Link;

use super::{apply, peer, request};
use crate::Store;
use crate::host::Host;
use crate::message::{Message, Request};

/// The most neighbours that are asked for their state, one after another.
const MAX_ATTEMPTS: usize = 3;

/// Requests the full state from neighbours until a configuration is known, which is faster
/// than reading the store and saves calls to it. If the first neighbour that responds has no
/// configuration, all hosts have just started, and those that read the store begin at once.
pub(super) async fn bootstrap<S: Store, D: Dialect>(host: Rc<Host<S, D>>, link: Link) {
    let recipients = host.gossip.borrow().recipients();
    for it in recipients.iter().take(MAX_ATTEMPTS).map(peer) {
        if host.node.router().version().is_some() {
            break;
        }
        let response = request::send(&host, &link, &it, Request::FullState).await;
        if let Some(Message::FullState(state)) = response {
            apply::full_state(&host, &link, &it, *state);
            host.bootstrap_attempted.set(true);
            request::send_once(&host, &link, &it, Request::Quarantine);
        }
    }
    host.bootstrap_attempted.set(true);
}
