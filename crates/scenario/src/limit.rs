//! Waiting for a condition with a timeout.

use std::future::Future;
use std::time::{Duration, Instant};

use async_std::task;

/// Interval between two checks of a condition.
const LOOK: Duration = Duration::from_millis(10);

/// Polls `condition` until it returns a value or `bound` has passed. It is checked at least once.
pub(crate) async fn until<T, F>(bound: Duration, mut condition: impl FnMut() -> F) -> Option<T>
where
    F: Future<Output = Option<T>>,
{
    let end = Instant::now() + bound;
    loop {
        if let Some(it) = condition().await {
            return Some(it);
        }
        if Instant::now() >= end {
            return None;
        }
        task::sleep(LOOK).await;
    }
}
