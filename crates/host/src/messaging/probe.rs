//! Probes hosts that are suspected to be down, and reconnects to silent ones.

use std::rc::Rc;
use std::time::Duration;

use async_std::future::timeout;
use async_std::task::sleep;
use forward::Dialect;
use link::{Link, Peer};
use telemetry::{Event, Value};

use super::{apply, peer, request};
use crate::Store;
use crate::gossip::RECONNECT_INTERVAL;
use crate::host::Host;
use crate::message::{Message, Request};

/// The timeout of a probe, connection setup included. A live host that responds later is marked
/// silent, and refutes that before callers are affected.
const PROBE_TIMEOUT: Duration = Duration::from_millis(500);
/// The interval between checks for suspected hosts.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Probes neighbours that have stopped sending updates.
pub(super) async fn probe_suspects<S: Store, D: Dialect>(host: Rc<Host<S, D>>, link: Link) {
    loop {
        sleep(CHECK_INTERVAL).await;
        let suspects = host.gossip.borrow_mut().suspects(host.node.now());
        for it in suspects.iter().map(peer) {
            host.node.spawn(probe(Rc::clone(&host), link.clone(), it));
        }
    }
}

async fn probe<S: Store, D: Dialect>(host: Rc<Host<S, D>>, link: Link, it: Peer) {
    let response = timeout(
        PROBE_TIMEOUT,
        request::send(&host, &link, &it, Request::Ping),
    )
    .await;
    let now = host.node.now();
    if let Ok(Some(_)) = response {
        return host.gossip.borrow_mut().mark_alive(now, &it.host);
    }
    let contact = host.contact();
    let is_silent = host
        .gossip
        .borrow_mut()
        .probe_failed(now, &it.host, contact);
    if is_silent {
        host.recorder()
            .log_event(Event::HostSilent, &[("other", Value::Text(&it.host))]);
        host.schedule_update();
    }
}

/// Tries to reconnect to silent hosts. After a partition heals, both sides have marked each
/// other silent, and neither would send the first message without this.
pub(super) async fn reconnect<S: Store, D: Dialect>(host: Rc<Host<S, D>>, link: Link) {
    loop {
        sleep(RECONNECT_INTERVAL).await;
        let random = host.random_fraction();
        let Some(silent) = host
            .gossip
            .borrow()
            .reconnect_candidate(random)
            .as_ref()
            .map(peer)
        else {
            continue;
        };
        let digest = host.gossip.borrow().digest();
        let sent = host.node.now();
        let response = request::send(&host, &link, &silent, Request::Compare(digest)).await;
        if let Some(it @ Message::Comparison(_)) = response {
            apply::response(&host, &link, &silent, sent, it);
        }
    }
}
