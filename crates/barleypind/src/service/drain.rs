//! The service that drains this host and ends the process without cutting off calls.
//!
//! Callers keep the response to `GET /v1/hosts` for a while. A leaving host is therefore first
//! removed from new responses and still accepts calls until the old ones have expired. Then it
//! finishes its calls and hands over its billing records.

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

/// Time for the last frames to be sent before the link closes.
const GOODBYE: Duration = Duration::from_millis(200);

/// The drain service.
pub(crate) struct Drain;

impl Service for Drain {
    type Message = ();
    const NAME: &'static str = "drain";
    const CAPACITY: usize = 16;
}

/// The outcome of a drain.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ended {
    /// No calls were cut off and no records are left.
    Whole,
    /// The drain limit in the settings was reached with calls or records left.
    AtBound,
}

/// Requests a drain. Further requests have no effect.
pub(crate) fn begin(host: &Host) {
    if let Some(drain) = host.registry.find::<Drain>() {
        // If the queue is full, a request is already in it.
        let _ = drain.offer(());
    }
}

/// The servers and channels that the drain uses.
pub(crate) struct Parts {
    pub(crate) servers: Vec<Server>,
    pub(crate) drained: Receiver<()>,
    pub(crate) ended: Sender<Ended>,
}

/// Waits for a request, then drains.
pub(crate) async fn run(cx: Arc<Context>, queue: Receiver<()>, parts: Parts) {
    if queue.recv().await.is_err() {
        return;
    }
    let ended = drain(&cx, &parts).await;
    // Fails only if nobody waits for the outcome.
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
        .map(|it| it.left)
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
