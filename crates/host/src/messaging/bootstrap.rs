//! Loads the initial state from neighbours when a host starts.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use async_std::task::sleep;
use forward::Dialect;
use futures::future::join_all;
use link::{Link, Peer};

use super::{apply, peer, request};
use crate::Store;
use crate::host::Host;
use crate::message::{Message, Request};

/// The time after which the next neighbour is asked as well if none has answered.
const NEXT_NEIGHBOUR_DELAY: Duration = Duration::from_millis(100);

/// Requests the full state from neighbours until one answers, which is faster than reading the
/// store and saves calls to it. If the first neighbour that responds has no configuration, all
/// hosts have just started, and those that read the store begin at once.
///
/// A neighbour without power doesn't respond at all. If the next one were asked only after a
/// timeout, a start of the whole fleet in which some hosts are missing would take seconds.
pub(super) async fn bootstrap<S: Store, D: Dialect>(host: Rc<Host<S, D>>, link: Link) {
    let recipients = host.gossip.borrow().recipients();
    let has_answer = Cell::new(false);
    let attempts = recipients.iter().map(peer).zip(0..).map(|(it, nr)| {
        let (host, link, has_answer) = (&host, &link, &has_answer);
        async move {
            sleep(NEXT_NEIGHBOUR_DELAY * nr).await;
            if has_answer.get() || host.node.router().version().is_some() {
                return;
            }
            if request_state(host, link, &it).await && !has_answer.replace(true) {
                host.bootstrap_attempted.set(true);
                request::send_once(host, link, &it, Request::Quarantine);
            }
        }
    });
    join_all(attempts).await;
    host.bootstrap_attempted.set(true);
}

/// Requests the full state from a neighbour and applies it. Returns whether it responded.
async fn request_state<S: Store, D: Dialect>(
    host: &Rc<Host<S, D>>,
    link: &Link,
    from: &Peer,
) -> bool {
    let response = request::send(host, link, from, Request::FullState).await;
    let Some(Message::FullState(state)) = response else {
        return false;
    };
    host.state_received.set(Some(host.node.now()));
    apply::full_state(host, link, from, *state);
    true
}
