//! Waiting for a condition with a bound, in place of sleeping for a time.

use std::future::Future;
use std::time::{Duration, Instant};

use async_std::task;

/// Time between two looks at a condition.
const LOOK: Duration = Duration::from_millis(10);

/// Looks at `condition` until it gives something or `bound` has passed.
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
