//! The ledger's public interface.

use std::time::Duration;

use kernel::{DataCentre, Incarnation};

use crate::context::{Context, Shared};
use crate::core::Core;
use crate::{Action, Event, Serial, Status, Tuning};

/// At-most-once execution and billing on one host, without IO.
///
/// The daemon passes in events and performs the returned actions. `now` is read from a monotonic
/// clock of this process.
#[derive(Debug)]
pub struct Ledger {
    shared: Shared,
    core: Core,
}

impl Ledger {
    /// Creates an empty ledger for the incarnation `me`.
    #[must_use]
    pub fn new(me: Incarnation, data_centre: DataCentre, tuning: Tuning) -> Self {
        Self {
            shared: Shared::new(me, data_centre, tuning),
            core: Core::default(),
        }
    }

    /// Handles one event and appends the resulting actions.
    pub fn handle(&mut self, now: Duration, event: Event, actions: &mut Vec<Action>) {
        let mut cx = Context {
            now,
            actions,
            shared: &mut self.shared,
        };
        self.core.handle(&mut cx, event);
    }

    /// Returns the serial to put into a ticket that is minted now.
    #[must_use]
    pub fn floor(&self) -> Serial {
        self.core.pending.floor()
    }

    /// Returns the current state and the counters.
    #[must_use]
    pub fn status(&self) -> Status {
        self.core.status(&self.shared)
    }
}
