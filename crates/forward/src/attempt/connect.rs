//! Obtains the connection of an attempt.

use std::time::Duration;

use route::config::RetryPolicy;
use route::{Call, Ending, LoadPolicy};
use telemetry::{ConnectionOrigin, NoConnection};

use super::Attempt;
use super::guard::AttemptGuard;
use crate::conn::Conn;
use crate::{Dialect, reach};

/// The shortest time for which a new connection is watched for a reset. On a fast link, the
/// endpoint's process takes longer to accept and reset a connection than the kernel to open it.
const MIN_RESET_WAIT: Duration = Duration::from_millis(3);
/// The longest time for which a new connection is watched for a reset.
const MAX_RESET_WAIT: Duration = Duration::from_millis(5);
/// The part of the target latency and of the time left that may be spent on watching. Writes have
/// a target of 120 ms, which allows 4.8 ms.
const RESET_WAIT_PART: u32 = 25;

impl<D: Dialect> Attempt<'_, D> {
    /// Returns an idle connection to the endpoint, or opens one.
    pub(super) async fn connect(
        &self,
        call: &Call,
        guard: &mut AttemptGuard<'_, D>,
    ) -> Result<(Conn, ConnectionOrigin), Ending> {
        let (node, placement) = (self.node, self.placement);
        let max_idle = match call.route.retry_policy {
            RetryPolicy::Idempotent => node.timeouts.idempotent_max_idle,
            RetryPolicy::AtMostOnce => node.timeouts.at_most_once_max_idle,
        };
        let now = node.now();
        if let Some(conn) = node.pool.take(now, placement.endpoint, max_idle) {
            return Ok((conn, ConnectionOrigin::Reused));
        }
        self.open(call, guard).await
    }

    /// Opens a connection. One for a request that must run at most once is returned only if the
    /// endpoint doesn't reset it for exceeding its limit: once the request is written, it is
    /// unknown whether it ran.
    async fn open(
        &self,
        call: &Call,
        guard: &mut AttemptGuard<'_, D>,
    ) -> Result<(Conn, ConnectionOrigin), Ending> {
        let (node, placement) = (self.node, self.placement);
        let began = node.now();
        let limit = node.timeouts.connect.min(call.time_left(began));
        let endpoint = (placement.endpoint, &placement.id, placement.address);
        let Ok(conn) = reach::open(node, endpoint, limit).await else {
            return Err(Ending::NotSent);
        };
        let now = node.now();
        let policy = node.router().load_policy(&call.service);
        match (policy, call.route.retry_policy) {
            (LoadPolicy::Contended, RetryPolicy::AtMostOnce) => {
                let wait = reset_wait(call, now, now.saturating_sub(began));
                if conn.is_unusable_within(wait).await {
                    guard.details.no_connection = Some(NoConnection::Reset);
                    return Err(Ending::NotSent);
                }
            }
            (LoadPolicy::Standard, _) | (_, RetryPolicy::Idempotent) => {}
        }
        Ok((conn, ConnectionOrigin::Opened))
    }
}

/// Returns for how long to watch a new connection that took `took` to open.
fn reset_wait(call: &Call, now: Duration, took: Duration) -> Duration {
    let allowed = call.route.target_latency.min(call.time_left(now)) / RESET_WAIT_PART;
    took.clamp(MIN_RESET_WAIT, MAX_RESET_WAIT).min(allowed)
}
