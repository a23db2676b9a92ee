//! The ledger itself.

use std::time::Duration;

use kernel::{DataCentre, Incarnation};

use crate::core::Core;
use crate::cx::{Cx, Shared};
use crate::{Action, Event, Serial, Status, Tuning};

/// At-most-once execution and billing on one host, without any IO.
///
/// The daemon feeds it what happened and performs its actions. It may be
/// driven by any clock that only moves forward.
#[derive(Debug)]
pub struct Ledger {
    shared: Shared,
    core: Core,
}

impl Ledger {
    /// A ledger of the incarnation `me` that holds nothing.
    #[must_use]
    pub fn new(me: Incarnation, data_centre: DataCentre, tuning: Tuning) -> Self {
        Self {
            shared: Shared::new(me, data_centre, tuning),
            core: Core::default(),
        }
    }

    /// Takes one event and appends what is to be done.
    pub fn handle(&mut self, now: Duration, event: Event, actions: &mut Vec<Action>) {
        let mut cx = Cx {
            now,
            actions,
            shared: &mut self.shared,
        };
        self.core.handle(&mut cx, event);
    }

    /// The number that goes into a ticket minted now.
    #[must_use]
    pub fn floor(&self) -> Serial {
        self.core.holdings.floor()
    }

    /// What it holds and has counted.
    #[must_use]
    pub fn status(&self) -> Status {
        self.core.status(&self.shared)
    }
}
