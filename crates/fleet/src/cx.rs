//! What every step of the core is given first.

use std::time::Duration;

use wire::{Frame, Member};

use crate::Action;

/// The time of the step, and where its actions go.
pub(crate) struct Cx<'a> {
    pub(crate) now: Duration,
    pub(crate) actions: &'a mut Vec<Action>,
}

impl Cx<'_> {
    pub(crate) fn push(&mut self, action: Action) {
        self.actions.push(action);
    }

    pub(crate) fn send(&mut self, to: &Member, frame: impl Into<Frame>) {
        self.push(Action::Send {
            host: to.identity.host.clone(),
            address: to.fleet_address,
            frame: frame.into(),
        });
    }
}
