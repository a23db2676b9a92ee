//! The service that checks the host's state every second, logs changes and sends the load to the
//! other hosts.

use std::sync::{Arc, PoisonError};
use std::time::Duration;

use async_std::task;

use crate::context::Context;
use crate::event::Event;
use crate::service::fleet;

const CHECK_INTERVAL: Duration = Duration::from_secs(1);
/// The load of a full host.
const MAX_LOAD: usize = 255;

/// The state at the last check, so that only changes are logged.
#[derive(Default)]
struct Conditions {
    stale: bool,
    table_out: bool,
}

/// Checks the state forever.
pub(crate) async fn run(cx: Arc<Context>) {
    let mut last = Conditions::default();
    loop {
        check(&cx, &mut last);
        task::sleep(CHECK_INTERVAL).await;
    }
}

fn check(cx: &Context, last: &mut Conditions) {
    let now = cx.host.now();
    fleet::send_event(cx, ::fleet::Event::Load(load(cx)));
    let status = cx.ledger_handle.status();
    cx.backlog
        .lock()
        .unwrap_or_else(PoisonError::into_inner)
        .record(now, &status);
    let age = cx.host.current_config.proof_age(now);
    let stale = age.is_none_or(|age| age > cx.host.settings.freshness.bound);
    if stale != last.stale && age.is_some() {
        let event = if stale {
            Event::ConfigStale
        } else {
            Event::ConfigFresh
        };
        let revision = cx.host.current_config.get().revision();
        cx.host.log.emit(event, &[("revision", &revision)]);
    }
    let table_out = cx.table.is_out();
    if table_out != last.table_out {
        let event = if table_out {
            Event::StoreOut
        } else {
            Event::StoreBack
        };
        cx.host.log.emit(event, &[("unwritten", &status.held)]);
    }
    *last = Conditions { stale, table_out };
}

/// Returns this host's load, from 0 (idle) to 255 (full).
fn load(cx: &Context) -> u8 {
    let open = cx.host.open_calls();
    let most = cx.host.settings.limits.max_in_flight.max(1);
    u8::try_from((open * MAX_LOAD / most).min(MAX_LOAD)).unwrap_or(u8::MAX)
}
