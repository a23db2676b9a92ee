//! Waiting for a condition with a timeout.

use std::future::Future;
use std::time::{Duration, Instant};

use async_std::task;

/// Interval between two checks of a condition.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Polls `condition` until it returns a value or `timeout` has passed. It is checked at least once.
pub(crate) async fn wait_until<T, F>(
    timeout: Duration,
    mut condition: impl FnMut() -> F,
) -> Option<T>
where
    F: Future<Output = Option<T>>,
{
    let deadline = Instant::now() + timeout;
    loop {
        if let Some(it) = condition().await {
            return Some(it);
        }
        if Instant::now() >= deadline {
            return None;
        }
        task::sleep(POLL_INTERVAL).await;
    }
}
