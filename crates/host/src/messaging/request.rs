//! Requests to other hosts.

use std::rc::Rc;
use std::time::Duration;

use forward::Dialect;
use link::{Link, Peer};
use wire::Frame;

use super::apply;
use crate::Store;
use crate::host::Host;
use crate::message::{Message, Request};

/// The timeout of a response, except those with [`LARGE_RESPONSE_TIMEOUT`]. Connection setup
/// is not included.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(400);
/// The timeout of a response that can be hundreds of kilobytes on a slow link that callers use
/// too. With a shorter timeout the transfer would be restarted again and again and never complete.
const LARGE_RESPONSE_TIMEOUT: Duration = Duration::from_secs(2);

/// Sends a request in the background, unless one of the same kind is in flight.
pub(super) fn send_once<S: Store, D: Dialect>(
    host: &Rc<Host<S, D>>,
    link: &Link,
    peer: &Peer,
    request: Request,
) {
    let kind = std::mem::discriminant(&request);
    if !host.in_flight_requests.borrow_mut().insert(kind) {
        return;
    }
    let (node, host, link) = (Rc::clone(&host.node), Rc::clone(host), link.clone());
    let peer = peer.clone();
    node.spawn(async move {
        send_and_apply(&host, &link, &peer, request).await;
        host.in_flight_requests.borrow_mut().remove(&kind);
    });
}

/// Sends a request in the background.
pub(super) fn send_in_background<S: Store, D: Dialect>(
    host: &Rc<Host<S, D>>,
    link: &Link,
    peer: &Peer,
    request: Request,
) {
    let (node, host, link) = (Rc::clone(&host.node), Rc::clone(host), link.clone());
    let peer = peer.clone();
    node.spawn(async move { send_and_apply(&host, &link, &peer, request).await });
}

async fn send_and_apply<S: Store, D: Dialect>(
    host: &Rc<Host<S, D>>,
    link: &Link,
    peer: &Peer,
    request: Request,
) {
    let sent = host.node.now();
    if let Some(response) = send(host, link, peer, request).await {
        apply::response(host, link, peer, sent, response);
    }
}

/// Sends a request; returns `None` if there is no usable response.
pub(super) async fn send<S: Store, D: Dialect>(
    host: &Host<S, D>,
    link: &Link,
    peer: &Peer,
    request: Request,
) -> Option<Message> {
    let timeout = match request {
        Request::ListingPage(_) | Request::ListingPatch(_) | Request::FullState => {
            LARGE_RESPONSE_TIMEOUT
        }
        _ => RESPONSE_TIMEOUT,
    };
    let frame = host.frame(&Message::Request(request))?;
    let Ok(Frame::Decide(payload)) = link.request(peer, &frame, timeout).await else {
        return None;
    };
    postcard::from_bytes(&payload.bytes).ok()
}
