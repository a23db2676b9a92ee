//! Shares the request rates that endpoints state with the other hosts.

use std::rc::Rc;
use std::time::Duration;

use async_std::task::sleep;
use forward::Dialect;
use route::rate_limit::Report;

use crate::Store;
use crate::host::Host;

/// Interval of checks for rates that changed.
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Sends the neighbours an early update when a rate changed.
pub(crate) async fn share<S: Store, D: Dialect>(host: Rc<Host<S, D>>) {
    loop {
        sleep(POLL_INTERVAL).await;
        if host.node.router().take_rate_limit_news() {
            host.schedule_update();
        }
    }
}

/// Applies another host's reports.
pub(crate) fn apply<S: Store, D: Dialect>(host: &Host<S, D>, reports: &[Report]) {
    let now = host.node.now();
    let changes = host.node.router().apply_rate_limit_reports(now, reports);
    for (endpoint, change) in changes {
        host.recorder()
            .log_rate_limit(&endpoint, change, "another host");
    }
}
