//! Shares quarantined requests with the other hosts, and persists them in the store for
//! the case that all hosts restart.

use std::rc::Rc;
use std::time::Duration;

use async_std::task::sleep;
use forward::Dialect;
use telemetry::{Event, Value};

use crate::host::Host;
use crate::{Backoff, Store, report, succession};

/// Interval of checks for new quarantined requests. Such a request makes an endpoint's
/// process exit within a tenth of a second, and then those of others until all hosts know it.
const POLL_INTERVAL: Duration = Duration::from_millis(100);
/// Interval of checks for entries to write to the store or to delete there.
const PERSIST_INTERVAL: Duration = Duration::from_millis(500);
/// Delay per rank before a host writes. The first host writes, and the others learn of it
/// before their delay has passed.
const RANK_DELAY: Duration = Duration::from_millis(400);

pub(crate) async fn share<S: Store, D: Dialect>(host: Rc<Host<S, D>>) {
    loop {
        sleep(POLL_INTERVAL).await;
        let (has_changes, quarantined) = {
            let mut router = host.node.router();
            let quarantine = router.quarantine();
            (quarantine.take_changed(), quarantine.take_quarantined())
        };
        for (fingerprint, ends) in quarantined {
            let event = if fingerprint.is_part() {
                Event::PartHeld
            } else {
                Event::RequestHeld
            };
            host.recorder().log_event(
                event,
                &[
                    ("print", Value::Text(&fingerprint)),
                    ("ends", Value::Count(ends as u64)),
                ],
            );
        }
        if has_changes {
            host.schedule_update();
        }
    }
}

/// Writes quarantined requests to the store, and deletes those that were released.
pub(crate) async fn persist<S: Store, D: Dialect>(host: Rc<Host<S, D>>) {
    let mut backoff = Backoff::default();
    loop {
        sleep(PERSIST_INTERVAL).await;
        let released = host.node.router().quarantine().take_released();
        if !released.is_empty() && host.rank() == 0 {
            let began = host.node.now();
            let result = host.store.remove_quarantined(&released).await;
            // If the delete fails, hosts that start read the row and release it later.
            report::record_store_call(&host, "release", began, &result);
        }
        if host.node.router().quarantine().unpersisted().is_empty() {
            continue;
        }
        let Some(delay) = succession::write_delay(host.rank(), RANK_DELAY) else {
            continue;
        };
        sleep(delay).await;
        let unpersisted = host.node.router().quarantine().unpersisted();
        if unpersisted.is_empty() {
            continue;
        }
        let began = host.node.now();
        let result = host.store.add_quarantined(&unpersisted).await;
        report::record_store_call(&host, "hold", began, &result);
        if result.is_ok() {
            backoff.reset();
            let now = host.node.now();
            host.node
                .router()
                .quarantine()
                .mark_persisted(now, &unpersisted);
        } else {
            host.back_off(&mut backoff).await;
        }
    }
}
