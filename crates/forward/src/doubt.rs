//! Asks endpoints to which connections broke whether they have ended.

use std::io::ErrorKind;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use async_std::task::sleep;
use kernel::EndpointId;
use route::endpoint::Key;

use crate::conn::Conn;
use crate::{Dialect, Node};

/// How long a connection may take that only tells whether anybody listens. Longer, and a
/// request that ends endpoints is known for it too late.
const CONNECT: Duration = Duration::from_millis(250);
/// How long a connection has to stay open to show that its endpoint stands: one that is
/// about to end may still be given connections.
const STAYS: Duration = Duration::from_millis(100);
/// How often an endpoint is asked that takes a connection and closes it, or doesn't answer:
/// the first packet may be lost.
const TRIES: u32 = 3;

/// Asks the endpoints that may have ended since this was last called.
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

/// Finds out whether an endpoint has ended. A refused connection says so: nobody listens
/// there. One that can't be opened in time says nothing, since the way may be cut.
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
