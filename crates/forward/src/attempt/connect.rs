//! Obtains the connection of an attempt.

use std::time::Duration;

use route::config::RetryPolicy;
use route::{Call, Ending, LoadPolicy};
use telemetry::{ConnectionOrigin, NoConnection};

use super::Attempt;
use super::guard::AttemptGuard;
use crate::conn::Conn;
use crate::connections::{Grant, Lease};
use crate::{Dialect, reach};

/// The shortest time for which a new connection is watched for a reset. On a fast link, the
/// endpoint's process takes longer to accept and reset a connection than the kernel to open it.
const MIN_RESET_WAIT: Duration = Duration::from_millis(3);
/// The longest time for which a new connection is watched for a reset.
const MAX_RESET_WAIT: Duration = Duration::from_millis(5);
/// The part of the target latency and of the time left that may be spent on watching. Writes have
/// a target of 120 ms, which allows 4.8 ms.
const RESET_WAIT_PART: u32 = 25;
/// The longest wait for a connection to become free.
const MAX_FREE_WAIT: Duration = Duration::from_millis(50);
/// The part of the target latency and of the time left that may be spent on waiting, if another
/// endpoint may have a free connection.
const FREE_WAIT_PART: u32 = 8;
/// The same if there is no other endpoint.
const ONLY_FREE_WAIT_PART: u32 = 2;

impl<D: Dialect> Attempt<'_, D> {
    /// Returns an idle connection to the endpoint, or opens one. Where capacity is contended, none
    /// is opened beyond this host's share, and the attempt waits briefly for one to become free.
    pub(super) async fn connect(
        &self,
        call: &Call,
        guard: &mut AttemptGuard<'_, D>,
    ) -> Result<(Conn, ConnectionOrigin), Ending> {
        let (node, endpoint) = (self.node, self.placement.endpoint);
        let policy = node.router().load_policy(&call.service);
        let share = match policy {
            LoadPolicy::Standard => None,
            LoadPolicy::Contended => Some(self.placement.connections),
        };
        node.connections.set_share(endpoint, share);
        let max_idle = match call.route.retry_policy {
            RetryPolicy::Idempotent => node.timeouts.idempotent_max_idle,
            RetryPolicy::AtMostOnce => node.timeouts.at_most_once_max_idle,
        };
        if let Some(conn) = node.pool.take(node.now(), endpoint, max_idle) {
            return Ok((conn, ConnectionOrigin::Reused));
        }
        let lease = match self.grant(policy, call, guard).await? {
            Grant::Open(lease) => lease,
            Grant::Reuse(mut conn) => {
                if conn.is_reusable() {
                    return Ok((conn, ConnectionOrigin::Reused));
                }
                conn.into_lease().ok_or(Ending::NotSent)?
            }
        };
        let conn = self.open(policy, call, guard, lease).await?;
        Ok((conn, ConnectionOrigin::Opened))
    }

    /// Waits until a connection may be opened or becomes free.
    async fn grant(
        &self,
        policy: LoadPolicy,
        call: &Call,
        guard: &mut AttemptGuard<'_, D>,
    ) -> Result<Grant, Ending> {
        let (node, endpoint) = (self.node, self.placement.endpoint);
        match policy {
            LoadPolicy::Standard => return Ok(Grant::Open(node.connections.lease(endpoint))),
            LoadPolicy::Contended => {}
        }
        // Connections that have been idle for too long for this request take part of the share.
        while node.connections.is_full(endpoint) && node.pool.close_oldest(endpoint) {}
        let began = node.now();
        let urgency = (call.priority(), call.arrived);
        let limit = free_wait(call, began, self.placement.candidates);
        let mut waiter = node.connections.join(endpoint, urgency, limit);
        if let Some(grant) = waiter.try_take() {
            return Ok(grant);
        }
        let granted = waiter.wait().await;
        guard.details.connection_wait = Some(node.now().saturating_sub(began));
        granted.ok_or_else(|| {
            guard.details.no_connection = Some(NoConnection::Busy);
            if let Some(in_flight) = &mut guard.in_flight {
                in_flight.connection_unavailable();
            }
            Ending::NotSent
        })
    }

    /// Opens a connection. One for a request that must run at most once is returned only if the
    /// endpoint doesn't reset it for exceeding its limit: once the request is written, it is
    /// unknown whether it ran.
    async fn open(
        &self,
        policy: LoadPolicy,
        call: &Call,
        guard: &mut AttemptGuard<'_, D>,
        lease: Lease,
    ) -> Result<Conn, Ending> {
        let (node, placement) = (self.node, self.placement);
        let began = node.now();
        let limit = node.timeouts.connect.min(call.time_left(began));
        let endpoint = (placement.endpoint, &placement.id, placement.address);
        let Ok(conn) = reach::open(node, endpoint, limit, lease).await else {
            return Err(Ending::NotSent);
        };
        let now = node.now();
        match (policy, call.route.retry_policy) {
            (LoadPolicy::Contended, RetryPolicy::AtMostOnce) => {
                let wait = reset_wait(call, now, now.saturating_sub(began));
                if conn.is_unusable_within(wait).await {
                    guard.details.no_connection = Some(NoConnection::Reset);
                    if let Some(lease) = conn.lease() {
                        lease.reset();
                    }
                    return Err(Ending::NotSent);
                }
            }
            (LoadPolicy::Standard, _) | (_, RetryPolicy::Idempotent) => {}
        }
        Ok(conn)
    }
}

/// Returns for how long to watch a new connection that took `took` to open.
fn reset_wait(call: &Call, now: Duration, took: Duration) -> Duration {
    let allowed = call.route.target_latency.min(call.time_left(now)) / RESET_WAIT_PART;
    took.clamp(MIN_RESET_WAIT, MAX_RESET_WAIT).min(allowed)
}

/// Returns for how long to wait for a connection to one of `candidates` endpoints.
fn free_wait(call: &Call, now: Duration, candidates: usize) -> Duration {
    let part = match candidates {
        0 | 1 => ONLY_FREE_WAIT_PART,
        _ => FREE_WAIT_PART,
    };
    let allowed = call.route.target_latency.min(call.time_left(now)) / part;
    allowed.min(MAX_FREE_WAIT)
}
