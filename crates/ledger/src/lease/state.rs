//! The state of one candidate.

use std::time::Duration;

use derive_more::Display;
use kernel::Incarnation;
use serde::{Deserialize, Serialize};

use crate::lease::{Action, Event, Tuning};

/// The number by which an endpoint tells a newer holder's order from an older one's.
#[derive(
    Clone, Copy, Debug, Default, Display, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Fencing(pub u64);

/// Whether an endpoint refuses an order with an old fencing number.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Endpoint {
    /// It refuses it.
    Checks,
    /// It obeys whoever asks last.
    Ignores,
}

/// Why an order may not be issued.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum Denied {
    /// This candidate doesn't hold the lease, or it has lapsed by its own clock.
    #[display("not held")]
    NotHeld,
    /// An order of the last holder may still be on its way, or the state that
    /// it left hasn't been read back.
    #[display("settling")]
    Settling,
}

/// One candidate for the lease of one job.
#[derive(Debug)]
pub struct Lease {
    me: Incarnation,
    tuning: Tuning,
}

impl Lease {
    /// A candidate that has seen nothing.
    #[must_use]
    pub fn new(me: Incarnation, tuning: Tuning) -> Self {
        Self { me, tuning }
    }

    /// Takes one event and appends what is to be done.
    pub fn handle(&mut self, now: Duration, event: Event, actions: &mut Vec<Action>) {
        let _ = (self.me, event);
        actions.push(Action::Wake {
            at: now + self.tuning.renew_every,
        });
    }

    /// Whether an order may be issued now, and under which number. To be
    /// asked before each order.
    ///
    /// # Errors
    /// Why not; see [`Denied`].
    pub fn order(&self, now: Duration, endpoint: Endpoint) -> Result<Fencing, Denied> {
        let _ = (now, endpoint);
        Err(Denied::NotHeld)
    }
}
