//! Probes endpoints whose connections broke, to find out whether their process has ended.

use std::io::ErrorKind;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use async_std::task::sleep;
use kernel::EndpointId;
use route::endpoint::Key;

use crate::conn::Conn;
use crate::{Dialect, Node};

/// The timeout for opening a probe's connection. Longer, and a request that crashes
/// endpoints is quarantined too late.
const CONNECT: Duration = Duration::from_millis(250);
/// How long a connection must stay open to show that the endpoint is alive: connections
/// to a process that is about to end may still be accepted.
const STAYS: Duration = Duration::from_millis(100);
/// The number of probes when the endpoint closes the connection or doesn't respond, since
/// the first packet may be lost.
const TRIES: u32 = 3;

/// Starts a probe of each endpoint that may have ended since the last call.
pub(crate) fn ask<D: Dialect>(node: &Rc<Node<D>>) {
    let doubted = node.router().take_doubted();
    for (key, id, address) in doubted {
        if node.asked.borrow_mut().insert(key) {
            let shared = Rc::clone(node);
            node.spawn(async move {
                settle(&shared, key, &id, address).await;
                shared.asked.borrow_mut().remove(&key);
            });
        }
    }
}

/// Finds out whether an endpoint's process has ended. A refused connection proves it, since
/// nothing listens there; a timeout doesn't, since the network may be partitioned.
async fn settle<D: Dialect>(node: &Node<D>, key: Key, id: &EndpointId, address: SocketAddr) {
    for _ in 0..TRIES {
        let began = node.now();
        let opened = Conn::open(address, CONNECT).await;
        let took = node.now().saturating_sub(began);
        match opened {
            Ok(mut conn) => {
                node.recorder.connect(id, took, &Ok(()));
                sleep(STAYS).await;
                if conn.is_quiet() {
                    node.pool.put(node.now(), key, conn, None);
                    return node.router().stands(key);
                }
            }
            Err(err) => {
                let is_refused = err.kind() == ErrorKind::ConnectionRefused;
                node.recorder.connect(id, took, &Err(err));
                if is_refused {
                    let now = node.now();
                    return node.router().ended(now, key);
                }
            }
        }
    }
}
