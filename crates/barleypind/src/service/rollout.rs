//! The service that moves roll-outs on and tells engines what to load.
//!
//! One host at a time does it, the holder of the lease `orders`. A step is a
//! change like an operator's, under an id that follows from the step, so that
//! two hosts that both believe to hold the lease make it once. An order names
//! the wanted state and carries the lease's fencing number; engines that ignore
//! the number get none before orders of the last holder have died out. See
//! `docs/design/lease.md`.

mod holder;
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
use holder::Holder;

/// How often the engines' state is set against the wanted one.
const LOOK: Duration = Duration::from_millis(500);
/// How many hosts try to hold the lease. More would read its row for nothing.
const CANDIDATES: usize = 5;

/// The name of the service.
pub(crate) struct Rollout;

impl Service for Rollout {
    type Message = Message;
    const NAME: &'static str = "rollout";
    const CAPACITY: usize = 64;
}

/// What the service takes.
pub(crate) enum Message {
    /// The decider wants a step.
    Step(VersionId, Step),
}

struct Actor {
    cx: Arc<Context>,
    holder: Holder,
    /// When an order was last given, by engine and version.
    ordered: HashMap<(HostName, VersionId), Duration>,
}

/// Runs the service until its queue is closed.
pub(crate) async fn run(cx: Arc<Context>, queue: Receiver<Message>) {
    let mut actor = Actor {
        holder: Holder::new(&cx),
        cx,
        ordered: HashMap::new(),
    };
    let mut looked = Duration::ZERO;
    loop {
        let now = actor.cx.host.now();
        if now >= looked + LOOK {
            looked = now;
            actor.look().await;
        }
        match timeout(LOOK, queue.recv()).await {
            Ok(Ok(Message::Step(version, step))) => actor.step(&version, &step).await,
            Ok(Err(_)) => return,
            Err(_) => {}
        }
    }
}

impl Actor {
    /// Renews or seeks the lease, and gives the orders that are due.
    async fn look(&mut self) {
        if self.cx.host.phase() == Phase::Leaving {
            return self.holder.resign(&self.cx).await;
        }
        if !self.holder.holds(&self.cx) && !self.is_candidate().await {
            return;
        }
        self.holder.tick(&self.cx).await;
        if self.holder.holds(&self.cx) {
            self.order().await;
        }
    }

    /// Whether this host is one of the few that try to hold the lease. All
    /// hosts that know the same members agree; when they differ for a while
    /// there is one candidate more or less, and the table decides anyway.
    async fn is_candidate(&self) -> bool {
        let members = crate::operate::members(&self.cx).await;
        let mut names: Vec<_> = members
            .iter()
            .filter(|it| it.state == wire::State::Alive)
            .map(|it| blake3::hash(it.identity.host.as_str().as_bytes()).to_hex())
            .collect();
        names.sort();
        let me = blake3::hash(self.cx.host.settings.host.name.as_str().as_bytes()).to_hex();
        names.iter().take(CANDIDATES).any(|it| *it == me)
    }
}
