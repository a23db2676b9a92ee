//! The service that ends the process without cutting anything off.
//!
//! Callers keep the answer to `GET /v1/hosts` for a while, so a leaving host
//! first disappears from new answers, serves as before until the old ones have
//! lapsed, then lets its work end and hands its billing records over.

use std::sync::Arc;
use std::time::Duration;

use async_std::channel::{Receiver, Sender};
use async_std::future::timeout;
use http::Server;
use kernel::Service;

use crate::context::Context;
use crate::event::Event;
use crate::host::{Host, Phase};
use crate::service::fleet;

/// Time for the last word to leave this host.
const GOODBYE: Duration = Duration::from_millis(200);

/// The name of the service.
pub(crate) struct Drain;

impl Service for Drain {
    type Message = ();
    const NAME: &'static str = "drain";
    const CAPACITY: usize = 16;
}

/// How the process ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ended {
    /// Nothing was cut off and nothing is left.
    Whole,
    /// The bound of the settings was reached with calls or records left.
    AtBound,
}

/// Asks the process to drain. Asking again changes nothing.
pub(crate) fn begin(host: &Host) {
    if let Some(drain) = host.registry.find::<Drain>() {
        // A full queue holds the same wish already.
        let _ = drain.offer(());
    }
}

/// What the drain has to see to.
pub(crate) struct Parts {
    pub(crate) servers: Vec<Server>,
    pub(crate) drained: Receiver<()>,
    pub(crate) ended: Sender<Ended>,
}

/// Waits to be asked, then drains.
pub(crate) async fn run(cx: Arc<Context>, queue: Receiver<()>, parts: Parts) {
    if queue.recv().await.is_err() {
        return;
    }
    let ended = drain(&cx, &parts).await;
    // The process ends with whoever waits for this.
    let _ = parts.ended.send(ended).await;
}

async fn drain(cx: &Arc<Context>, parts: &Parts) -> Ended {
    let host = &cx.host;
    let bound = host.now() + host.settings.host.drain_limit;
    let left = |at: Duration| bound.saturating_sub(at);
    host.enter(Phase::Leaving);
    host.log.emit(Event::Stopping, &[]);
    fleet::tell(cx, ::fleet::Event::Leave);
    let keep = host.settings.limits.hosts_keep.min(left(host.now()));
    let limit = left(host.now()).saturating_sub(keep);
    let stops = parts.servers.iter().map(|it| it.drain(keep, limit));
    let cut: usize = futures::future::join_all(stops)
        .await
        .iter()
        .map(|it| it.in_flight)
        .sum();
    cx.books.handle(ledger::Event::Drain);
    let held = timeout(left(host.now()), parts.drained.recv())
        .await
        .is_err();
    fleet::tell(cx, ::fleet::Event::Goodbye);
    async_std::task::sleep(GOODBYE).await;
    cx.link.close().await;
    if cut == 0 && !held {
        host.log.emit(Event::Drained, &[]);
        return Ended::Whole;
    }
    let records = cx.books.status().held;
    host.log
        .emit(Event::DrainBound, &[("calls", &cut), ("records", &records)]);
    Ended::AtBound
}
