//! Probes endpoints whose connections broke, to find out whether their process has ended.

use std::io::ErrorKind;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use async_std::task::sleep;
use kernel::EndpointId;
use route::endpoint::Key;

use crate::{Dialect, Node, reach};

/// The timeout for opening a probe's connection. It delays the quarantine of requests that
/// make endpoints exit.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
/// The minimum time for which a connection must stay open to show that the endpoint is alive:
/// connections to a process that is about to exit may still be accepted.
const MIN_OPEN_TIME: Duration = Duration::from_millis(100);
/// The maximum number of connections that a probe opens. Only a refused connection or one
/// that stays open gives a result; after any other outcome the probe tries again.
const MAX_PROBES: u32 = 3;

/// Starts a probe of each endpoint that may have ended since the last call.
pub(crate) fn spawn_probes<D: Dialect>(node: &Rc<Node<D>>) {
    let candidates = node.router().take_probe_candidates();
    for (key, id, address) in candidates {
        if node.probing.borrow_mut().insert(key) {
            let shared = Rc::clone(node);
            node.spawn(async move {
                probe(&shared, key, &id, address).await;
                shared.probing.borrow_mut().remove(&key);
            });
        }
    }
}

/// Finds out whether an endpoint's process has ended. A refused connection proves it, since
/// nothing listens there; a timeout doesn't, since the network may be partitioned. Where all
/// connections of this host are refused, nothing is proved.
async fn probe<D: Dialect>(node: &Node<D>, key: Key, id: &EndpointId, address: SocketAddr) {
    for _ in 0..MAX_PROBES {
        let lease = node.connections.lease(key);
        match reach::open(node, (key, id, address), CONNECT_TIMEOUT, lease).await {
            Ok(mut conn) => {
                sleep(MIN_OPEN_TIME).await;
                if conn.is_reusable() {
                    node.pool
                        .put(node.now(), key, conn, None, &node.connections);
                    return node.router().process_alive(key);
                }
            }
            Err(err) if err.kind() == ErrorKind::ConnectionRefused => {
                if reach::reaches_another(node, key).await {
                    let now = node.now();
                    return node.router().process_ended(now, key);
                }
            }
            Err(_) => {}
        }
    }
}
