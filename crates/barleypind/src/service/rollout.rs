//! The roll-out controller: makes the steps of roll-outs and orders engines to load versions.
//!
//! One host at a time runs it, the holder of the lease `orders`. A step is a change like an
//! operator's, with an id derived from the step, so that it takes effect once even if two hosts
//! both assume that they hold the lease. An order names the wanted state and contains the lease's
//! fencing number. Engines that ignore the number get no orders until those of the previous
//! holder can no longer arrive. See `docs/design/lease.md`.

mod lease;
mod orders;
mod step;

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use async_std::channel::Receiver;
use async_std::future::timeout;
use decide::action::Step;
use kernel::{HostName, Service, VersionId};

use crate::context::Context;
use crate::host::Phase;
use lease::OrdersLease;

/// Interval between comparisons of the engines' state with the wanted one.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// Maximum number of hosts that compete for the lease.
const MAX_CANDIDATES: usize = 5;

/// The roll-out service.
pub(crate) struct Rollout;

impl Service for Rollout {
    type Message = Message;
    const NAME: &'static str = "rollout";
    const CAPACITY: usize = 64;
}

/// A message to the service.
pub(crate) enum Message {
    /// The decider requests a step.
    Step(VersionId, Step),
}

struct Actor {
    cx: Arc<Context>,
    orders_lease: OrdersLease,
    /// The time of the last order, by engine and version.
    last_orders: HashMap<(HostName, VersionId), Duration>,
}

/// Runs the service until its queue is closed.
pub(crate) async fn run(cx: Arc<Context>, queue: Receiver<Message>) {
    let mut actor = Actor {
        orders_lease: OrdersLease::new(&cx),
        cx,
        last_orders: HashMap::new(),
    };
    let mut last_check = Duration::ZERO;
    loop {
        let now = actor.cx.host.now();
        if now >= last_check + CHECK_INTERVAL {
            last_check = now;
            actor.check().await;
        }
        match timeout(CHECK_INTERVAL, queue.recv()).await {
            Ok(Ok(Message::Step(version, step))) => actor.step(&version, &step).await,
            Ok(Err(_)) => return,
            Err(_) => {}
        }
    }
}

impl Actor {
    /// Renews or requests the lease, and sends the orders that are due.
    async fn check(&mut self) {
        if self.cx.host.phase() == Phase::Leaving {
            return self.orders_lease.release(&self.cx).await;
        }
        if !self.orders_lease.holds(&self.cx) && !self.is_candidate().await {
            return;
        }
        self.orders_lease.tick(&self.cx).await;
        if self.orders_lease.holds(&self.cx) {
            self.send_due_orders().await;
        }
    }

    /// Returns whether this host may compete for the lease. All hosts with the same view of the
    /// members agree. Different views only change the number of candidates, since the table
    /// decides.
    async fn is_candidate(&self) -> bool {
        let members = crate::operator_api::members(&self.cx).await;
        let mut names: Vec<_> = members
            .iter()
            .filter(|it| it.state == wire::State::Alive)
            .map(|it| blake3::hash(it.identity.host.as_str().as_bytes()).to_hex())
            .collect();
        names.sort();
        let me = blake3::hash(self.cx.host.settings.host.name.as_str().as_bytes()).to_hex();
        names.iter().take(MAX_CANDIDATES).any(|it| *it == me)
    }
}
