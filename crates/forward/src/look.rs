//! Asks endpoints what they are at before a long prompt is sent.

use std::time::Duration;

use async_std::future::timeout;
use futures::future::join_all;
use route::endpoint::Report;
use route::{Call, Look};

use crate::conn::Conn;
use crate::upstream::Upstream;
use crate::{Dialect, Node};

/// How long an answer is waited for. It takes two ways and some microseconds;
/// without it the request is placed by what is known.
const LIMIT: Duration = Duration::from_millis(30);
/// The longest report, in bytes. One run takes some 50.
const MAX_REPORT: usize = 64 * 1024;

/// Asks the endpoints that the request may go to, where that is worth it.
pub(crate) async fn look<D: Dialect>(node: &Node<D>, call: &mut Call) {
    let looks = node.router().looks(node.now(), call);
    let asked = looks.iter().map(|it| timeout(LIMIT, ask(node, it)));
    for (look, report) in looks.iter().zip(join_all(asked).await) {
        // One that doesn't answer in time is placed by what is known of it.
        if let Ok(Some(report)) = report {
            let now = node.now();
            node.router().report(now, look.endpoint, report);
        }
    }
}

async fn ask<D: Dialect>(node: &Node<D>, look: &Look) -> Option<Report> {
    let conn = match node.pool.take(node.now(), look.endpoint, node.timing.idle) {
        Some(conn) => conn,
        None => Conn::open(look.address, LIMIT).await.ok()?,
    };
    let mut upstream = Upstream::new(conn, node.dialect.question().to_vec());
    let head = upstream.head("GET").await.ok()?;
    let mut body = Vec::new();
    upstream.body(&head, &mut body, MAX_REPORT).await.ok()?;
    if let (true, Some(conn)) = (head.keep, upstream.into_clean()) {
        node.pool.put(node.now(), look.endpoint, conn, None);
    }
    (head.status == 200)
        .then(|| node.dialect.report(&body))
        .flatten()
}
