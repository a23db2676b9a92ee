//! Opens connections to endpoints, and checks whether this host is cut off from all of them.

use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use async_std::task::sleep;
use futures::future::join_all;
use kernel::EndpointId;
use route::endpoint::Key;
use route::reach::State;
use telemetry::Event;

use crate::conn::Conn;
use crate::connections::Lease;
use crate::{Dialect, Node};

/// The timeout for opening a connection that only shows whether an endpoint is reachable.
const CHECK_TIMEOUT: Duration = Duration::from_millis(250);
/// The pause between two rounds of checks.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// Opens a connection to an endpoint, and records the result.
pub(crate) async fn open<D: Dialect>(
    node: &Node<D>,
    (key, id, address): (Key, &EndpointId, SocketAddr),
    limit: Duration,
    lease: Lease,
) -> io::Result<Conn> {
    let began = node.now();
    let opened = Conn::open(&*node.connector, address, limit).await;
    record_connect(node, id, began, &opened);
    match opened {
        Ok(_) => node.router().connect_opened(),
        Err(_) => node.router().connect_failed(node.now(), key),
    }
    log_change(node);
    opened.map(|it| it.with_lease(lease))
}

/// Starts checks if connections to several endpoints failed in a row.
pub(crate) fn spawn_checks<D: Dialect>(node: &Rc<Node<D>>) {
    if node.router().needs_reach_checks() && !node.checks_reach.replace(true) {
        let shared = Rc::clone(node);
        node.spawn(async move {
            run_checks(&shared).await;
            shared.checks_reach.set(false);
        });
    }
}

/// Returns whether a connection opens to an endpoint other than this one, or there is no other.
pub(crate) async fn reaches_another<D: Dialect>(node: &Node<D>, endpoint: Key) -> bool {
    let others = node.router().reach_references(endpoint);
    others.is_empty() || check(node, &others).await
}

/// Opens connections to some endpoints until one opens.
async fn run_checks<D: Dialect>(node: &Node<D>) {
    loop {
        let endpoints = node.router().reach_checks();
        if endpoints.is_empty() {
            return;
        }
        check(node, &endpoints).await;
        sleep(CHECK_INTERVAL).await;
    }
}

/// Opens a connection to each of these endpoints, and returns whether one opened. One that opens
/// outweighs the others, whose processes may have exited.
async fn check<D: Dialect>(node: &Node<D>, endpoints: &[(Key, EndpointId, SocketAddr)]) -> bool {
    let began = node.now();
    let connect = async |key: Key, address| {
        let lease = node.connections.lease(key);
        let opened = Conn::open(&*node.connector, address, CHECK_TIMEOUT).await;
        opened.map(|it| it.with_lease(lease))
    };
    let connects = endpoints.iter().map(|it| connect(it.0, it.2));
    let results = join_all(connects).await;
    let has_opened = results.iter().any(Result::is_ok);
    if has_opened {
        node.router().connect_opened();
    }
    for ((key, id, _), result) in endpoints.iter().zip(results) {
        record_connect(node, id, began, &result);
        match result {
            Ok(conn) => node
                .pool
                .put(node.now(), *key, conn, None, &node.connections),
            Err(_) if has_opened => {}
            Err(_) => node.router().connect_failed(node.now(), *key),
        }
    }
    log_change(node);
    has_opened
}

fn record_connect<D: Dialect>(
    node: &Node<D>,
    id: &EndpointId,
    began: Duration,
    opened: &io::Result<Conn>,
) {
    let took = node.now().saturating_sub(began);
    let error = opened.as_ref().err();
    node.recorder.record_connect(id, took, error);
}

/// Logs whether this host reaches endpoints, if that has changed.
fn log_change<D: Dialect>(node: &Node<D>) {
    let reach = node.router().reach();
    if node.reach.replace(reach) != reach {
        let event = match reach {
            State::Reachable => Event::EndpointsReachable,
            State::CutOff => Event::EndpointsUnreachable,
        };
        node.recorder.log_event(event, &[]);
    }
}
