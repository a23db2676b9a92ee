//! The service that checks the host's state every second, logs changes and sends the load to the
//! other hosts.

use std::sync::{Arc, PoisonError};
use std::time::Duration;

use async_std::task;

use crate::context::Context;
use crate::event::Event;
use crate::service::fleet;

const EVERY: Duration = Duration::from_secs(1);
/// The load of a full host.
const FULL: usize = 255;

/// The state at the last check, so that only changes are logged.
#[derive(Default)]
struct Seen {
    stale: bool,
    out: bool,
}

/// Checks the state forever.
pub(crate) async fn run(cx: Arc<Context>) {
    let mut seen = Seen::default();
    loop {
        look(&cx, &mut seen);
        task::sleep(EVERY).await;
    }
}

fn look(cx: &Context, seen: &mut Seen) {
    let now = cx.host.now();
    fleet::tell(cx, ::fleet::Event::Load(load(cx)));
    let status = cx.books.status();
    cx.backlog
        .lock()
        .unwrap_or_else(PoisonError::into_inner)
        .note(now, &status);
    let age = cx.host.current.proof_age(now);
    let stale = age.is_none_or(|age| age > cx.host.settings.freshness.bound);
    if stale != seen.stale && age.is_some() {
        let event = if stale {
            Event::ConfigStale
        } else {
            Event::ConfigFresh
        };
        let revision = cx.host.current.get().revision();
        cx.host.log.emit(event, &[("revision", &revision)]);
    }
    let out = cx.table.is_out();
    if out != seen.out {
        let event = if out {
            Event::StoreOut
        } else {
            Event::StoreBack
        };
        cx.host.log.emit(event, &[("unwritten", &status.held)]);
    }
    *seen = Seen { stale, out };
}

/// Returns this host's load, from 0 (idle) to 255 (full).
fn load(cx: &Context) -> u8 {
    let open = cx.host.open_calls();
    let most = cx.host.settings.limits.max_in_flight.max(1);
    u8::try_from((open * FULL / most).min(FULL)).unwrap_or(u8::MAX)
}
