//! The context that is passed to each step of the core.

use std::time::Duration;

use wire::{Frame, Member};

use crate::Action;

/// The current time and the list that collects actions.
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
