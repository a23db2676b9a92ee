//! The service that drains this host: it finishes the calls within the drain limit and reports the
//! outcome.
//!
//! Callers keep the response to `GET /v1/hosts` for a while. A leaving host is therefore first
//! removed from new responses and still accepts calls until the old ones have expired. Then it
//! finishes its calls and waits until the ledger holds no more records.

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

/// Time between the last frames and the close of the link, so that they are sent.
const LINK_CLOSE_DELAY: Duration = Duration::from_millis(200);

/// The drain service.
pub(crate) struct Drain;

impl Service for Drain {
    type Message = ();
    const NAME: &'static str = "drain";
    const CAPACITY: usize = 16;
}

/// The outcome of a drain.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DrainOutcome {
    /// No calls were cut off and no records are left.
    Complete,
    /// The drain limit in the settings was reached with calls or records left.
    LimitReached,
}

/// Requests a drain. Further requests have no effect.
pub(crate) fn begin(host: &Host) {
    if let Some(drain) = host.registry.find::<Drain>() {
        // If the queue is full, a request is already in it.
        let _ = drain.offer(());
    }
}

/// The servers and channels that the drain uses.
pub(crate) struct Resources {
    pub(crate) servers: Vec<Server>,
    pub(crate) drained: Receiver<()>,
    pub(crate) ended: Sender<DrainOutcome>,
}

/// Waits for a request, then drains.
pub(crate) async fn run(cx: Arc<Context>, queue: Receiver<()>, resources: Resources) {
    if queue.recv().await.is_err() {
        return;
    }
    let ended = drain(&cx, &resources).await;
    // Fails only if nobody waits for the outcome.
    let _ = resources.ended.send(ended).await;
}

async fn drain(cx: &Arc<Context>, resources: &Resources) -> DrainOutcome {
    let host = &cx.host;
    let deadline = host.now() + host.settings.host.drain_limit;
    let remaining = |at: Duration| deadline.saturating_sub(at);
    host.advance_to(Phase::Leaving);
    host.log.emit(Event::Stopping, &[]);
    fleet::send_event(cx, ::fleet::Event::Leave);
    let keep = host.settings.limits.hosts_keep.min(remaining(host.now()));
    let limit = remaining(host.now()).saturating_sub(keep);
    let drains = resources.servers.iter().map(|it| it.drain(keep, limit));
    let calls_left: usize = futures::future::join_all(drains)
        .await
        .iter()
        .map(|it| it.in_flight)
        .sum();
    cx.ledger_handle.handle(ledger::Event::Drain);
    let records_left = timeout(remaining(host.now()), resources.drained.recv())
        .await
        .is_err();
    fleet::send_event(cx, ::fleet::Event::Goodbye);
    async_std::task::sleep(LINK_CLOSE_DELAY).await;
    cx.link.close().await;
    if calls_left == 0 && !records_left {
        host.log.emit(Event::Drained, &[]);
        return DrainOutcome::Complete;
    }
    let records = cx.ledger_handle.status().held;
    host.log.emit(
        Event::DrainBound,
        &[("calls", &calls_left), ("records", &records)],
    );
    DrainOutcome::LimitReached
}
