//! Tasks that follow the contents of the store.
//!
//! Each store call is billed, so a few hosts read the store and inform the others. A host
//! whose state gets too old reads the store itself, whatever the reason, so that the age of
//! its state stays bounded when the others fail.

pub(crate) mod documents;
pub(crate) mod endpoints;
pub(crate) mod evacuations;
pub(crate) mod members;
pub(crate) mod quarantine;
pub(crate) mod rate_limits;
pub(crate) mod verdicts;

use std::time::Duration;

use async_std::task::sleep;
use forward::Dialect;
use route::Revision;

use crate::Store;
use crate::host::Host;

/// Shortest wait of a long poll. Not zero, with which a store could answer before it looks.
const MIN_WAIT: Duration = Duration::from_millis(20);
/// Interval at which a host that doesn't read the store checks whether it should.
pub(crate) const POLL_INTERVAL: Duration = Duration::from_millis(100);
/// The same for a host that isn't ready, so that the checks don't delay its start.
const STARTUP_POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Returns whether `news` is of another era of the store than `since`.
fn is_of_another_era(since: Option<Revision>, news: Revision) -> bool {
    since.is_some_and(|it| it.era != news.era)
}

/// Waits until a configuration is known, from the store or from another host.
///
/// Nothing else is useful until then. While the store refuses calls, fewer kinds of call
/// are enough to detect its return, and each call is billed.
pub(crate) async fn wait_for_config<S: Store, D: Dialect>(host: &Host<S, D>) {
    while host.node.router().version().is_none() {
        sleep(STARTUP_POLL_INTERVAL).await;
    }
}

/// Waits until the next check whether this host should read the store. The wait is
/// shorter while the host isn't ready.
async fn wait_to_read<S: Store, D: Dialect>(host: &Host<S, D>) {
    if host.is_ready() {
        sleep(POLL_INTERVAL).await;
    } else {
        sleep(STARTUP_POLL_INTERVAL).await;
    }
}
