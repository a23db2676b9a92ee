//! Reads the configuration from the table and puts it in force.

use std::sync::Arc;
use std::time::Duration;

use ::fleet::{Event, Polled};
use clients::row::Key;
use kernel::Revision;

use super::send_event;
use crate::context::Context;
use crate::current::Adopted;
use crate::event::Event as Logged;
use crate::host::Phase;

/// Reads the configuration's head from the table and passes the result to the core.
pub(super) async fn poll(cx: Arc<Context>) {
    let asked = cx.host.now();
    let event = if let Ok(row) = cx.table.get(&Key::ConfigHead).await {
        // Before the first change there is no row, and the empty configuration is in force.
        let document = match &row {
            Some(row) => row.value(),
            None => Some(config::Document::default()),
        };
        polled(&cx, asked, document)
    } else {
        cx.host.metrics.platform_failed("table");
        Event::PollFailed
    };
    send_event(&cx, event);
}

fn polled(cx: &Context, asked: Duration, document: Option<config::Document>) -> Event {
    let Some(document) = document else {
        cx.host.log.emit(Logged::ConfigUnreadable, &[]);
        return Event::PollFailed;
    };
    Event::Polled(Polled {
        asked,
        revision: document.revision,
        json: Some(document.to_json().into_bytes().into()),
    })
}

/// Puts a document in force. Calls check the current configuration at dispatch, so it is set
/// before the decider's policy.
pub(super) fn apply(cx: &Context, revision: Revision, json: &[u8]) {
    let document = std::str::from_utf8(json)
        .ok()
        .and_then(|text| config::Document::parse(text).ok());
    let Some(document) = document else {
        let fields: &[crate::log::Field<'_>] = &[("revision", &revision)];
        return cx.host.log.emit(Logged::ConfigUnreadable, fields);
    };
    match cx.host.current_config.adopt(document) {
        Adopted::Newer => {
            cx.decider
                .configure(Arc::clone(&cx.host.current_config.get().policy));
            cx.host
                .log
                .emit(Logged::RevisionInForce, &[("revision", &revision)]);
        }
        Adopted::Lower => {
            cx.host
                .log
                .emit(Logged::LowerRevision, &[("revision", &revision)]);
        }
        Adopted::Same => {}
    }
    if cx.host.advance_to(Phase::Ready) == Phase::Starting {
        cx.host.log.emit(Logged::Ready, &[("revision", &revision)]);
    }
}
